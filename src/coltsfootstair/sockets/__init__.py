"""TCP sockets: what becomes of bytes on their way when a connection ends."""

from __future__ import annotations

from coltsfootstair.sockets._closing import (
    count_unacknowledged_bytes,
    finish_on_close,
    reset_on_close,
)
from coltsfootstair.sockets._delivery import Delivery
from coltsfootstair.sockets._lingering import LingeringCloser

__all__ = [
    'Delivery',
    'LingeringCloser',
    'count_unacknowledged_bytes',
    'finish_on_close',
    'reset_on_close',
]
