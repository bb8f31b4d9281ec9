"""Reads the body of a caller's request in chunks, without buffering it whole."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from cheroot import wsgi

from coltsfootstair.errors import ColtsfootstairError

if TYPE_CHECKING:
    from coltsfootstair.clock import Clock

__all__ = ['BODY_KEY', 'BodyReadError', 'CallerBody', 'CallerGateway']

BODY_KEY = 'coltsfootstair.body'
"""Key of the WSGI environment that holds the request's ``CallerBody``."""

MAX_CHUNK_LINE_BYTES = 256
"""Upper bound of the size line before each chunk of a chunked body, in bytes."""

DISCARD_CHUNK_BYTES = 64 * 1024
DISCARD_TIMEOUT_S = 2.0
"""How long the rest of a refused body is still read and discarded, in seconds."""


class BodyReadError(ColtsfootstairError):
    """The caller's body ended early, arrived too slowly, or is malformed.

    The text is sent to the caller as the detail of a refusal.
    """


class _Readable(Protocol):
    def read(self, size: int) -> bytes: ...

    def readline(self, size: int) -> bytes: ...


class CallerBody:
    """Reads the body of one request, of a known length or chunked.

    :param length: the announced length in bytes, or -1 if the body is chunked
    """

    def __init__(self, source: _Readable, length: int) -> None:
        self.length = length
        self._source = source
        # Unread bytes of the body, or of the current chunk if the body is chunked.
        self._remaining_bytes = max(length, 0)
        self._is_fully_read = length == 0

    @property
    def is_fully_read(self) -> bool:
        """Whether all of the body has been read."""
        return self._is_fully_read

    def read(self, size: int) -> bytes:
        """Read up to ``size`` bytes; return no bytes only at the end of the body.

        :raises BodyReadError: the rest of the body cannot be read
        """
        if self._is_fully_read:
            return b''
        try:
            return self._read(size)
        except (OSError, ValueError) as error:
            raise BodyReadError(f'the body broke off: {error}') from error

    def discard(self, clock: Clock) -> None:
        """Read and discard the rest for a limited time, so that the caller gets its answer.

        Closing a connection with unread bytes resets it, and the answer would be lost.
        """
        deadline = clock.monotonic() + DISCARD_TIMEOUT_S
        try:
            while not self._is_fully_read and clock.monotonic() < deadline:
                self.read(DISCARD_CHUNK_BYTES)
        except BodyReadError:
            return

    def _read(self, size: int) -> bytes:
        if self._remaining_bytes == 0:
            self._read_chunk_header()
            if self._is_fully_read:
                return b''
        data = self._source.read(min(size, self._remaining_bytes))
        if not data:
            raise BodyReadError('the body ended before its announced length')
        self._remaining_bytes -= len(data)
        if self._remaining_bytes == 0:
            self._read_chunk_end()
        return data

    def _read_chunk_header(self) -> None:
        line = self._source.readline(MAX_CHUNK_LINE_BYTES)
        digits = line.split(b';')[0].strip()
        if not line.endswith(b'\n') or not digits.isalnum():
            raise BodyReadError('a chunk has no size')
        self._remaining_bytes = int(digits, 16)
        if self._remaining_bytes == 0:
            self._source.readline(MAX_CHUNK_LINE_BYTES)
            self._is_fully_read = True

    def _read_chunk_end(self) -> None:
        """Read the line end after a chunk; a body of known length has none and is complete."""
        if self.length >= 0:
            self._is_fully_read = True
        elif self._source.readline(MAX_CHUNK_LINE_BYTES).strip():
            raise BodyReadError('a chunk is longer than its size')


class CallerGateway(wsgi.Gateway_10):
    """Cheroot gateway that passes the body unbuffered; closes connections with an unread body.

    Cheroot's own reader buffers a whole chunk, of any size that the caller announces, and
    reads all the rest of a body into memory before it sends a refusal.
    """

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Return the WSGI environment with the request's ``CallerBody`` added."""
        environ: dict[str, Any] = super().get_environ()  # type: ignore[no-untyped-call]
        length = -1 if self.req.chunked_read else int(environ.get('CONTENT_LENGTH') or 0)
        self._body = CallerBody(self.req.conn.rfile, length)
        environ[BODY_KEY] = self._body
        return environ

    def start_response(self, status: str, headers: list[tuple[str, str]], *rest: Any) -> Any:
        """Start the answer; close the connection after it if the body is not fully read."""
        if not self._body.is_fully_read:
            self.req.close_connection = True
        # ``CallerBody`` has read these bytes; Cheroot's own reader would still wait for them.
        self.req.rfile.remaining = 0
        return super().start_response(status, headers, *rest)
