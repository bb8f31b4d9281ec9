"""Bounds the memory that upload bodies take in one daemon."""

from __future__ import annotations

from coltsfootstair.results import Ran, Refusal, ResultCode

__all__ = ['UploadBudget']

DEFAULT_LIMIT_BYTES = 64 * 1024 * 1024
"""Bytes that all uploads together may reserve."""

RETRY_AFTER_PER_UPLOAD_S = 1.0
"""Retry-After of a refused upload for each upload that holds memory, in seconds."""

MAX_RETRY_AFTER_S = 30.0
"""Maximum Retry-After of a refused upload, in seconds."""


class UploadBudget:
    """Reserves memory for uploads before the first byte of their bodies is read.

    Not thread-safe: the caller must ensure that one thread at a time uses it.

    :param limit_bytes: bytes that all uploads together may reserve
    """

    __slots__ = ('_bytes_by_request', '_limit_bytes')

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._bytes_by_request: dict[str, int] = {}

    @property
    def used_bytes(self) -> int:
        """Bytes that are reserved at present."""
        return sum(self._bytes_by_request.values())

    def reserve(self, request_id: str, size_bytes: int) -> Refusal | None:
        """Reserve ``size_bytes`` for a request, or return a refusal if the memory is full."""
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
        """Release the memory of a request, if it has reserved any."""
        self._bytes_by_request.pop(request_id, None)
