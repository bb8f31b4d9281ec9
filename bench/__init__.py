"""Measurements of coltsfootstair, run from the repository."""

from __future__ import annotations
