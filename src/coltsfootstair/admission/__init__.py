"""Decides when a backend server may be given which request."""

from __future__ import annotations
