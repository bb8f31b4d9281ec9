"""Tests of TCP sockets."""

from __future__ import annotations
