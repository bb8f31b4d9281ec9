"""HTTP/1.1 connections to servers and from callers, on one asyncio event loop."""

from __future__ import annotations

from coltsfootstair.http1._answer_limiter import AnswerLimiter, CutOffReason
from coltsfootstair.http1._client import Answer, BrokenExchangeError, Connection
from coltsfootstair.http1._headers import Headers, find_first_value, select_end_to_end
from coltsfootstair.http1._pool import Address, ConnectionPool
from coltsfootstair.http1._server import (
    CallerConnection,
    CallerHandler,
    CallerLimits,
    IncomingRequest,
    Reply,
)
from coltsfootstair.http1._status import StatusServer

__all__ = [
    'Address',
    'Answer',
    'AnswerLimiter',
    'BrokenExchangeError',
    'CallerConnection',
    'CallerHandler',
    'CallerLimits',
    'Connection',
    'ConnectionPool',
    'CutOffReason',
    'Headers',
    'IncomingRequest',
    'Reply',
    'StatusServer',
    'find_first_value',
    'select_end_to_end',
]
