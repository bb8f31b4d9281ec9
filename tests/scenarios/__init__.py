"""Scenarios over real processes."""

from __future__ import annotations
