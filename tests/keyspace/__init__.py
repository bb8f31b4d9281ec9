"""Tests of the exclusive ownership of keys."""

from __future__ import annotations
