"""Result codes, one of which is sent with every answer to a caller."""

from __future__ import annotations

from coltsfootstair.results._codes import Ran, Refusal, ResultCode, http_status, title

__all__ = ['Ran', 'Refusal', 'ResultCode', 'http_status', 'title']
