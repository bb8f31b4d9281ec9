"""Detection of unresponsive servers from the reports of all daemons."""

from __future__ import annotations

from coltsfootstair.keyspace._unresponsive import (
    ANSWER_VALIDITY_S,
    REPORT_VALIDITY_S,
    UnresponsiveDetector,
)
from coltsfootstair.peers import LoadFigures, Report


def _report(daemon: str, **figures: LoadFigures) -> Report:
    return Report(daemon, 1, True, 0.3, {}, {}, figures)


OVERDUE = LoadFigures(0, 0.0, is_overdue=True)
ANSWERING = LoadFigures(3, 0.5)
PAUSED = LoadFigures(0, 0.0, pause_left_s=9.0)


def test_two_daemons_without_answers_make_a_server_unresponsive() -> None:
    """29 bookings were sent to one unresponsive server, three by each of nine daemons."""
    detector = UnresponsiveDetector()
    detector.apply_report(_report('d1', s1=OVERDUE), 10.0)
    assert detector.list_unresponsive(10.0) == []
    detector.apply_report(_report('d2', s1=OVERDUE, s2=ANSWERING), 10.1)
    assert detector.list_unresponsive(10.1) == ['s1']
    assert detector.list_unresponsive(10.2 + REPORT_VALIDITY_S) == []


def test_an_answer_to_any_daemon_makes_a_server_responsive() -> None:
    detector = UnresponsiveDetector()
    for daemon in ('d1', 'd2'):
        detector.apply_report(_report(daemon, s1=OVERDUE), 10.0)
    detector.apply_report(_report('d3', s1=ANSWERING), 10.1)
    assert detector.list_unresponsive(10.2) == []
    assert detector.list_unresponsive(10.2 + ANSWER_VALIDITY_S) == ['s1']


def test_a_server_that_works_on_long_requests_is_not_unresponsive_between_answers() -> None:
    """Servers with few, long requests lost all their keys again and again."""
    detector = UnresponsiveDetector()
    mean_s = 0.6
    detector.apply_report(_report('d3', s1=LoadFigures(5, 5 * mean_s)), 10.0)
    for daemon in ('d1', 'd2'):
        detector.apply_report(_report(daemon, s1=OVERDUE), 11.0)
    assert detector.list_unresponsive(10.0 + 3 * mean_s) == []
    assert detector.list_unresponsive(10.0 + 5 * mean_s) == ['s1']


def test_a_server_that_asks_for_a_pause_is_not_unresponsive() -> None:
    """Guards against taking the keys off an owner that is overloaded but alive.

    Daemons whose answers were overdue and that may send nothing now get no answers.
    """
    detector = UnresponsiveDetector()
    for daemon in ('d1', 'd2'):
        detector.apply_report(_report(daemon, s1=OVERDUE), 10.0)
    for daemon in ('d1', 'd2'):
        detector.apply_report(_report(daemon, s1=PAUSED), 10.3)
    assert detector.list_unresponsive(10.4) == []
    assert detector.list_unresponsive(10.4 + ANSWER_VALIDITY_S) == []
    # Others find out for themselves.
    for daemon in ('d3', 'd4'):
        detector.apply_report(_report(daemon, s1=OVERDUE), 12.0)
    assert detector.list_unresponsive(12.0) == ['s1']
