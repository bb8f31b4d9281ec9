"""Tests of finding a request's cause in logs."""

from __future__ import annotations
