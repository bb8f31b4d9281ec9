"""Which backend servers answer nobody at present."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coltsfootstair.peers import Report

__all__ = ['Suspects']

ACCUSATION_S = 3.0
"""How long a daemon's report that a server is silent counts, in seconds: as long as a trial
request at a silent server takes to show it again."""

HEARD_S = 1.0
"""How long an answer to anybody clears a server, in seconds."""

ACCUSERS = 2
"""Daemons that must find a server silent, so that one with a broken path accuses nobody."""


class Suspects:
    """Sums up what daemons report of servers that do not answer.

    Answers servers that hang or are cut off while their entries stay: each daemon has only
    a few requests there, and would have to lose them all to find out by itself.
    """

    def __init__(self) -> None:
        self._accused_at: dict[str, dict[str, float]] = {}
        self._heard_at: dict[str, float] = {}

    def reported(self, report: Report, now: float) -> None:
        """Take one daemon's report."""
        for server, figures in report.figures_by_server.items():
            if figures.answer_count:
                self._heard_at[server] = now
            if figures.unresponsive:
                self._accused_at.setdefault(server, {})[report.daemon] = now

    def names(self, now: float) -> list[str]:
        """Return the servers that several daemons find silent and none has heard."""
        for server, accusers in list(self._accused_at.items()):
            fresh = {name: at for name, at in accusers.items() if now - at <= ACCUSATION_S}
            if fresh:
                self._accused_at[server] = fresh
            else:
                del self._accused_at[server]
        return sorted(
            server
            for server, accusers in self._accused_at.items()
            if len(accusers) >= ACCUSERS and now - self._heard_at.get(server, 0.0) > HEARD_S
        )
