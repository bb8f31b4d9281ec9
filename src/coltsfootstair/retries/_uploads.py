"""Bounds the memory that the bodies of uploads take in one daemon."""

from __future__ import annotations

from coltsfootstair.results import Ran, Refusal, ResultCode

__all__ = ['UploadBudget']

DEFAULT_LIMIT_BYTES = 64 * 1024 * 1024
RETRY_AFTER_PER_UPLOAD_S = 1.0
MAX_RETRY_AFTER_S = 30.0


class UploadBudget:
    """Bytes that are set aside for uploads before a byte of their bodies is read.

    Changed in place; the caller sees to it that one thread at a time does.

    :param bound_bytes: bytes that all uploads together may hold
    """

    __slots__ = ('_bytes_by_request', '_limit_bytes')

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._bytes_by_request: dict[str, int] = {}

    @property
    def used_bytes(self) -> int:
        """Return the bytes set aside now."""
        return sum(self._bytes_by_request.values())

    def reserve(self, request_id: str, size_bytes: int) -> Refusal | None:
        """Set ``size`` bytes aside for a request, or return why that can't be."""
        if request_id in self._bytes_by_request:
            return None
        if self.used_bytes + size_bytes > self._limit_bytes:
            uploads = len(self._bytes_by_request)
            detail = f'{uploads} uploads hold all of {self._limit_bytes} bytes'
            retry_after_s = min(RETRY_AFTER_PER_UPLOAD_S * max(uploads, 1), MAX_RETRY_AFTER_S)
            return Refusal(ResultCode.UPLOAD_MEMORY_FULL, Ran.NO, detail, retry_after_s)
        self._bytes_by_request[request_id] = size_bytes
        return None

    def release(self, request_id: str) -> None:
        """Give back what a request has set aside; it may have nothing."""
        self._bytes_by_request.pop(request_id, None)
