"""Tests of coltsfootstair."""

from __future__ import annotations
