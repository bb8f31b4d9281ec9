"""Servers that answer nobody are found by all daemons together."""

from __future__ import annotations

from coltsfootstair.keyspace._suspects import ACCUSATION_S, HEARD_S, Suspects
from coltsfootstair.peers import LoadFigures, Report


def _report(daemon: str, **figures: LoadFigures) -> Report:
    return Report(daemon, 1, True, 0.3, {}, {}, figures)


SILENT = LoadFigures(0, 0.0, unresponsive=True)
ANSWERING = LoadFigures(3, 0.5)


def test_two_daemons_that_hear_nothing_make_a_server_suspect() -> None:
    """29 bookings were sent to one hanging server, three by each of nine daemons."""
    suspects = Suspects()
    suspects.reported(_report('d1', s1=SILENT), 10.0)
    assert suspects.names(10.0) == []
    suspects.reported(_report('d2', s1=SILENT, s2=ANSWERING), 10.1)
    assert suspects.names(10.1) == ['s1']
    assert suspects.names(10.2 + ACCUSATION_S) == []


def test_an_answer_to_anybody_clears_a_server() -> None:
    suspects = Suspects()
    for daemon in ('d1', 'd2'):
        suspects.reported(_report(daemon, s1=SILENT), 10.0)
    suspects.reported(_report('d3', s1=ANSWERING), 10.1)
    assert suspects.names(10.2) == []
    assert suspects.names(10.2 + HEARD_S) == ['s1']
