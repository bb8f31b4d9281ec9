"""The numbered results that every answer to a caller carries."""

from __future__ import annotations

from coltsfootstair.results._codes import Ran, Refusal, ResultCode, http_status, title

__all__ = ['Ran', 'Refusal', 'ResultCode', 'http_status', 'title']
