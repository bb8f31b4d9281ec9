"""Benchmarks of coltsfootstair, run from a checkout of the repository."""

from __future__ import annotations
