"""A stream for log lines that never blocks its writer."""

from __future__ import annotations

import os

__all__ = ['DroppingStream']


class DroppingStream:
    """Writes whole lines to a descriptor; a line for which there is no room is dropped.

    :param descriptor: is switched to non-blocking
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._rest = b''
        self.dropped_count = 0

    def write(self, text: str) -> int:
        """Write a line, or count it as dropped."""
        if self._rest and not self._write_rest():
            self.dropped_count += 1
            return len(text)
        data = text.encode()
        written = self._try(data)
        if written == 0:
            self.dropped_count += 1
        else:
            # What is left of a line that was begun goes first next time.
            self._rest = data[written:]
        return len(text)

    def flush(self) -> None:
        """Do nothing; each line is written at once."""

    def _write_rest(self) -> bool:
        self._rest = self._rest[self._try(self._rest) :]
        return not self._rest

    def _try(self, data: bytes) -> int:
        try:
            return os.write(self._descriptor, data)
        except BlockingIOError:
            return 0
