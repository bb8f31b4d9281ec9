"""What the operators' interface asks of the daemon it runs in."""

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
    """A daemon, as the console and the operators' commands use it; safe for threads."""

    def is_ready(self) -> bool:
        """Return whether callers are served."""

    def status(self) -> StatusReport:
        """Gather the state of all daemons that can be reached."""

    def timeline(self) -> list[TimelineEvent]:
        """Gather and merge the time lines of all daemons that can be reached."""

    def document(self) -> VersionedText:
        """Return the document as the store has it, or else the one in force here."""

    def apply(self, text: str, base: int | None, force: bool) -> ApplyResult:
        """Put ``text`` in place of version ``base`` (or of the present one, if ``None``)."""

    def set_data_centre(self, name: str, state: State, force: bool) -> ApplyResult:
        """Take a data centre out, or bring it back."""

    def set_backend_server(self, name: str, state: State, force: bool) -> ApplyResult:
        """Drain a backend server, or restore it."""

    def find_dangers(self, text: str) -> list[str]:
        """Return what would be dangerous about applying ``text`` now."""

    def find_owner(self, service: str, key: str) -> OwnerReport | None:
        """Return who owns ``key``; ``None`` if the service has no keys of its own."""
