"""Tests of the adapter to the users' platform, and stand-ins for the platform."""

from __future__ import annotations
