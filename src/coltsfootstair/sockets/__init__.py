"""Options of TCP sockets that all clients share."""

from __future__ import annotations

from coltsfootstair.sockets._closing import (
    count_unacknowledged_bytes,
    finish_on_close,
    reset_on_close,
)

__all__ = ['count_unacknowledged_bytes', 'finish_on_close', 'reset_on_close']
