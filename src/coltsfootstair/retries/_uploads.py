"""Bounds the memory that the bodies of uploads take in one daemon."""

from __future__ import annotations

from coltsfootstair.results import Ran, Refusal, ResultCode

__all__ = ['UploadBudget']

BOUND_BYTES = 64 * 1024 * 1024
RETRY_S = 1.0
RETRY_MAX_S = 30.0


class UploadBudget:
    """Bytes that are set aside for uploads before a byte of their bodies is read.

    Changed in place; the caller sees to it that one thread at a time does.

    :param bound_bytes: bytes that all uploads together may hold
    """

    __slots__ = ('_bound_bytes', '_bytes_by_request')

    def __init__(self, bound_bytes: int = BOUND_BYTES) -> None:
        self._bound_bytes = bound_bytes
        self._bytes_by_request: dict[str, int] = {}

    @property
    def used_bytes(self) -> int:
        """Return the bytes set aside now."""
        return sum(self._bytes_by_request.values())

    def reserve(self, request_id: str, size: int) -> Refusal | None:
        """Set ``size`` bytes aside for a request, or return why that can't be."""
        if request_id in self._bytes_by_request:
            return None
        if self.used_bytes + size > self._bound_bytes:
            uploads = len(self._bytes_by_request)
            text = f'{uploads} uploads hold all of {self._bound_bytes} bytes'
            retry_s = min(RETRY_S * max(uploads, 1), RETRY_MAX_S)
            return Refusal(ResultCode.UPLOAD_MEMORY_FULL, Ran.NO, text, retry_s)
        self._bytes_by_request[request_id] = size
        return None

    def release(self, request_id: str) -> None:
        """Give back what a request has set aside; it may have nothing."""
        self._bytes_by_request.pop(request_id, None)
