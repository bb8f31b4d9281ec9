"""Tests of the adapter to the users' platform, and stand-ins for it."""

from __future__ import annotations
