"""Which daemons there are, and which of them answer."""

from __future__ import annotations
