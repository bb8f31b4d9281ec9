"""An output stream for log lines that never blocks its writer."""

from __future__ import annotations

import os

__all__ = ['DroppingStream']


class DroppingStream:
    """Writes whole lines to a file descriptor; drops lines that the pipe doesn't take.

    :param descriptor: file descriptor to write to; it is made non-blocking
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._unwritten = b''
        self.dropped_count = 0

    def write(self, text: str) -> int:
        """Write a line, or count it as dropped."""
        if self._unwritten and not self._write_unwritten():
            self.dropped_count += 1
            return len(text)
        data = text.encode()
        written_length = self._try_write(data)
        if written_length == 0:
            self.dropped_count += 1
        else:
            # The rest of a partly written line is written before the next line.
            self._unwritten = data[written_length:]
        return len(text)

    def flush(self) -> None:
        """Do nothing, since ``write`` does not buffer complete lines."""

    def _write_unwritten(self) -> bool:
        self._unwritten = self._unwritten[self._try_write(self._unwritten) :]
        return not self._unwritten

    def _try_write(self, data: bytes) -> int:
        try:
            return os.write(self._descriptor, data)
        except OSError:
            # The pipe is full, or nobody reads it any more. Who logs must not fail by it.
            return 0
