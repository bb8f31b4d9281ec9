"""Tests of the path from callers to backend servers."""

from __future__ import annotations
