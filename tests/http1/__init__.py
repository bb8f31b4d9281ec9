"""Tests of the HTTP/1.1 connections."""

from __future__ import annotations
