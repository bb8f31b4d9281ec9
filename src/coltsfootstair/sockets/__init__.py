"""Options of TCP sockets that all clients share."""

from __future__ import annotations

from coltsfootstair.sockets._closing import finish_on_close, reset_on_close

__all__ = ['finish_on_close', 'reset_on_close']
