"""Tests of how much one daemon may send to servers that all daemons share."""

from __future__ import annotations

import random
from collections import Counter

from coltsfootstair.clock import ManualClock
from coltsfootstair.gateway import AnswerFacts, RetrySettings
from coltsfootstair.gateway._fleet import Fleet
from coltsfootstair.http1 import Address
from coltsfootstair.placement import LoadReport
from coltsfootstair.registry import BackendServer, Registry, ServerState

DAEMON_COUNT = 9
SLOT_COUNT, QUEUE_LENGTH = 4, 16  # Of the backend server.
MAX_CONNECTIONS = 110
WAITING_COUNT = 5
"""Requests for a key that wait at each daemon while the key moves, as recorded on one day."""

SERVER = BackendServer(
    's1', 1, 'slots', Address('10.0.0.1', 1), 'a', SLOT_COUNT, ServerState.READY, 0.0
)


def _fleet(clock: ManualClock, daemon_count: int = DAEMON_COUNT, seed: int = 1) -> Fleet:
    return Fleet(
        'd1',
        Registry(clock),
        clock,
        RetrySettings(),
        lambda: daemon_count,
        lambda _: 0.0,  # Requests a second of a cold server; none is cold here.
        lambda _: 0.18,  # Expected service time, in seconds.
        list,  # No server is unresponsive.
        random.Random(seed),
    )


def _send_while_allowed(fleet: Fleet, max_count: int = WAITING_COUNT) -> int:
    sent_count = 0
    while sent_count < max_count and fleet.make_candidate(SERVER, MAX_CONNECTIONS).has_room:
        fleet.record_sent(SERVER)
        sent_count += 1
    return sent_count


def test_a_new_owner_does_not_get_all_waiting_requests_of_all_daemons_at_once() -> None:
    """Guards against overloading the new owner of a key after the key has moved.

    43 lookups that had waited at 9 daemons reached one new owner within 0.1 s; it answered 20
    of them.
    """
    clock = ManualClock()
    fleets = [_fleet(clock) for _ in range(DAEMON_COUNT)]
    assert 0 < sum(_send_while_allowed(fleet) for fleet in fleets) <= SLOT_COUNT + QUEUE_LENGTH


def test_the_first_answer_of_a_server_allows_further_requests() -> None:
    """Guards against daemons that stay limited after they know the load of the server."""
    clock = ManualClock()
    fleet = _fleet(clock)
    sent_count = _send_while_allowed(fleet)
    assert sent_count < WAITING_COUNT
    fleet.get_load_estimate(SERVER).apply_report(
        LoadReport(2, 0, SLOT_COUNT, 1.0), clock.monotonic()
    )
    fleet.get_load_estimate(SERVER).on_request_ended()
    assert _send_while_allowed(fleet) > 1


def test_each_daemon_may_always_send_one_request() -> None:
    assert _send_while_allowed(_fleet(ManualClock(), daemon_count=1000)) == 1


def test_a_servers_capacity_is_not_divided_while_the_number_of_daemons_is_unknown() -> None:
    assert _send_while_allowed(_fleet(ManualClock(), daemon_count=0)) == SLOT_COUNT


def test_a_report_names_the_incarnations_that_are_leaving() -> None:
    clock = ManualClock()
    fleet = _fleet(clock)
    fleet._registry.apply_entry(SERVER)
    fleet._registry.mark_leaving(SERVER.incarnation)
    fleet._registry.mark_leaving(('another', 1))
    # One without an entry is no longer of interest.
    for _ in range(2):
        assert fleet.collect_report(1, True, 0.3, {}).leaving_incarnations == [('s1', 1)]


def test_reloaded_settings_change_the_retry_budget_at_once() -> None:
    fleet = _fleet(ManualClock(), daemon_count=1)
    for _ in range(100):
        fleet.record_request('slots', None)
    assert fleet.try_spend_retry('slots')
    fleet.reload(RetrySettings(ratio=0.0, slack=0.0))
    assert not fleet.try_spend_retry('slots')


def test_daemons_that_restart_again_and_again_keep_to_one_retry_slack() -> None:
    """Each start had the full share again; three starts in a window broke the budget."""
    clock = ManualClock()
    retries = RetrySettings()
    retry_count = 0
    for is_first_start in (True, False, False, False):
        fleet = Fleet(
            'd1',
            Registry(clock),
            clock,
            retries,
            lambda: 1,
            lambda _: 0.0,  # Requests a second of a cold server; none is cold here.
            lambda _: 0.18,  # Expected service time, in seconds.
            list,  # No server is unresponsive.
            random.Random(1),
            is_first_start=is_first_start,
        )
        while fleet.try_spend_retry('slots'):
            retry_count += 1
        clock.advance(retries.window_s / 5)
    assert 0 < retry_count <= retries.slack
    clock.advance(retries.window_s)
    assert fleet.try_spend_retry('slots')


def test_hundreds_of_daemons_do_not_come_back_from_a_pause_at_the_same_moment() -> None:
    """Guards against a crowd at a server that told all daemons the same time."""
    clock = ManualClock()
    daemon_count, retry_after_s = 300, 2.0
    fleets = [_fleet(clock, daemon_count, seed) for seed in range(daemon_count)]
    for fleet in fleets:
        fleet.apply_retry_after(SERVER, AnswerFacts(True, True, False, None, retry_after_s))
    waits_s = [fleet.get_pause_wait_s(SERVER) for fleet in fleets]
    assert min(waits_s) >= retry_after_s
    # In each mean service time a few, not hundreds.
    in_steps = Counter(int(wait_s / 0.18) for wait_s in waits_s)
    assert max(in_steps.values()) < 3 * SLOT_COUNT * 4
    assert max(waits_s) <= retry_after_s + 2.0


def test_a_paused_server_is_reported_as_paused_and_not_as_overdue() -> None:
    """Guards against reporting a server as dead that has only asked for a pause."""
    clock = ManualClock()
    fleet = _fleet(clock)
    fleet._registry.apply_entry(SERVER)
    fleet.record_sent(SERVER)
    clock.advance(3.0)
    figures = fleet.collect_report(1, True, 0.3, {}).figures_by_server['s1']
    assert (figures.is_overdue, figures.pause_left_s) == (True, 0.0)
    fleet.apply_retry_after(SERVER, AnswerFacts(True, True, False, None, 5.0))
    clock.advance(1.5)
    figures = fleet.collect_report(1, True, 0.3, {}).figures_by_server['s1']
    assert not figures.is_overdue
    assert 3.4 < figures.pause_left_s < 6.0
