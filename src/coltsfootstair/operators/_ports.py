"""The port through which the operators' interface uses the daemon it runs in."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from coltsfootstair.document import State
    from coltsfootstair.operators._types import (
        ApplyResult,
        OwnerReport,
        StatusReport,
        VersionedText,
    )
    from coltsfootstair.timeline import TimelineEvent

__all__ = ['DaemonPort']


class DaemonPort(Protocol):
    """A daemon, as the console and the JSON interface use it; thread-safe."""

    def is_ready(self) -> bool:
        """Return whether the daemon serves callers."""

    def status(self) -> StatusReport:
        """Return the state of all daemons; those that do not answer show as unreachable."""

    def timeline(self) -> list[TimelineEvent]:
        """Return the merged time lines of all daemons that can be reached."""

    def document(self) -> VersionedText:
        """Return the document in the store; if the store is unreachable, the one in force."""

    def apply(self, text: str, base: int | None, force: bool) -> ApplyResult:
        """Replace the document by ``text``.

        :param base: version that must be in the store; ``None`` for any
        :param force: whether to apply a dangerous change as well
        """

    def set_data_centre(self, name: str, state: State, force: bool) -> ApplyResult:
        """Take a data centre out or bring it back."""

    def set_backend_server(self, name: str, state: State, force: bool) -> ApplyResult:
        """Drain or restore a backend server."""

    def find_dangers(self, text: str) -> list[str]:
        """Return the dangers of applying ``text`` now."""

    def find_owner(self, service: str, key: str) -> OwnerReport | None:
        """Return the owner of ``key``; ``None`` if the service is not divided by key."""
