"""The body of a caller's request, read in portions and never held whole."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from cheroot import wsgi

from coltsfootstair.errors import ColtsfootstairError

if TYPE_CHECKING:
    from coltsfootstair.clock import Clock

__all__ = ['BODY_KEY', 'BodyReadError', 'CallerBody', 'CallerGateway']

BODY_KEY = 'coltsfootstair.body'
"""Where the environment of a request holds its ``CallerBody``."""

CHUNK_LINE_BYTES = 256
"""Upper bound of the line before each chunk of a chunked body, in bytes."""

DISCARD_BYTES = 64 * 1024
LINGER_S = 2.0
"""How long the rest of a refused body is still taken and dropped, in seconds."""


class BodyReadError(ColtsfootstairError):
    """The caller's body ended early, came too slowly, or is malformed."""


class _Readable(Protocol):
    def read(self, size: int) -> bytes: ...

    def readline(self, size: int) -> bytes: ...


class CallerBody:
    """Reads a body of a known length, or a chunked one.

    :param length: the announced length in bytes, or -1 if the body is chunked
    """

    def __init__(self, source: _Readable, length: int) -> None:
        self.length = length
        self._source = source
        self._left = max(length, 0)
        self._ended = length == 0

    @property
    def ended(self) -> bool:
        """Whether all of the body has been read."""
        return self._ended

    def read(self, size: int) -> bytes:
        """Return up to ``size`` bytes; none only at the end.

        :raises BodyReadError: the rest of the body can't be had
        """
        if self._ended:
            return b''
        try:
            return self._read(size)
        except (OSError, ValueError) as error:
            raise BodyReadError(f'the body broke off: {error}') from error

    def discard(self, clock: Clock) -> None:
        """Take and drop the rest for a while, so that the caller reads its answer.

        A connection closed with bytes unread would be reset, and the answer lost.
        """
        give_up = clock.monotonic() + LINGER_S
        try:
            while not self._ended and clock.monotonic() < give_up:
                self.read(DISCARD_BYTES)
        except BodyReadError:
            return

    def _read(self, size: int) -> bytes:
        if self._left == 0:
            self._begin_chunk()
            if self._ended:
                return b''
        data = self._source.read(min(size, self._left))
        if not data:
            raise BodyReadError('the body ended before its announced length')
        self._left -= len(data)
        if self._left == 0:
            self._end_chunk()
        return data

    def _begin_chunk(self) -> None:
        line = self._source.readline(CHUNK_LINE_BYTES)
        digits = line.split(b';')[0].strip()
        if not line.endswith(b'\n') or not digits.isalnum():
            raise BodyReadError('a chunk has no size')
        self._left = int(digits, 16)
        if self._left == 0:
            self._source.readline(CHUNK_LINE_BYTES)
            self._ended = True

    def _end_chunk(self) -> None:
        if self.length >= 0:
            self._ended = True
        elif self._source.readline(CHUNK_LINE_BYTES).strip():
            raise BodyReadError('a chunk is longer than its size')


class CallerGateway(wsgi.Gateway_10):
    """Hands the application the bare body, and keeps no connection with an unread one.

    The server's own reader holds a whole chunk, of whatever size the caller names, and
    reads all that is left of a body into memory before it sends a refusal.
    """

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Return the environment with the request's ``CallerBody``."""
        environ: dict[str, Any] = super().get_environ()  # type: ignore[no-untyped-call]
        length = -1 if self.req.chunked_read else int(environ.get('CONTENT_LENGTH') or 0)
        self._body = CallerBody(self.req.conn.rfile, length)
        environ[BODY_KEY] = self._body
        return environ

    def start_response(self, status: str, headers: list[tuple[str, str]], *rest: Any) -> Any:
        """Take the head of the answer; a body that is still unread ends the connection."""
        if not self._body.ended:
            self.req.close_connection = True
        # The server would otherwise wait for the bytes that were read past its reader.
        self.req.rfile.remaining = 0
        return super().start_response(status, headers, *rest)
