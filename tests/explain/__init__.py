"""Tests of explaining requests from logs."""

from __future__ import annotations
