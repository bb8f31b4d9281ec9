"""Owners of keys that have asked daemons for a pause."""

from __future__ import annotations

from coltsfootstair.keyspace._reports import MAX_REPORT_AGE_S

__all__ = ['PausedOwners']

PAUSED_SLOWDOWN = 1.5
"""Factor by which an owner counts as slower when it has asked all daemons for a pause."""


class PausedOwners:
    """Owners of one service that have asked daemons for a pause, from the reports of daemons.

    It handles an owner that is overloaded in a way that its service time does not show. Its
    pause is load to the planner, and no reason to take all keys off it.
    """

    def __init__(self) -> None:
        self._reported_at_by_daemon: dict[str, float] = {}
        self._paused_until_by_server: dict[str, dict[str, float]] = {}

    def on_report(self, daemon: str, now: float) -> None:
        """Record that a daemon has sent a report."""
        self._reported_at_by_daemon[daemon] = now

    def apply_pause(self, server: str, daemon: str, pause_left_s: float, now: float) -> None:
        """Apply what one daemon reports of its pause."""
        until_by_daemon = self._paused_until_by_server.setdefault(server, {})
        # Each further report of the daemon tells of it again.
        until_by_daemon[daemon] = now + min(pause_left_s, MAX_REPORT_AGE_S)

    def compute_slowdown(self, server: str, now: float) -> float:
        """Return the factor by which an owner counts as slower, by its share of pauses."""
        until_by_daemon = self._paused_until_by_server.get(server)
        if until_by_daemon is None:
            return 1.0
        paused_count = sum(until > now for until in until_by_daemon.values())
        if not paused_count:
            del self._paused_until_by_server[server]
            return 1.0
        reporting_count = sum(
            now - reported_at <= MAX_REPORT_AGE_S
            for reported_at in self._reported_at_by_daemon.values()
        )
        share = min(1.0, paused_count / max(1, reporting_count))
        return 1.0 + (PAUSED_SLOWDOWN - 1.0) * share
