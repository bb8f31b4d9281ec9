"""Tests of the ownership of keys."""

from __future__ import annotations
