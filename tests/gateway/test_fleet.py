"""What a daemon lets itself send to servers that all daemons share."""

from __future__ import annotations

import random

from coltsfootstair.clock import ManualClock
from coltsfootstair.gateway import RetrySettings
from coltsfootstair.gateway._fleet import Fleet
from coltsfootstair.http1 import Address
from coltsfootstair.placement import LoadReport
from coltsfootstair.registry import BackendServer, Registry, ServerState

DAEMONS = 9
SLOTS, QUEUE = 4, 16
CONNECTIONS = 110
WAITING = 5
"""Requests for a key that waited at each daemon while the key moved, in the recorded day."""

SERVER = BackendServer(
    's1', 1, 'slots', Address('10.0.0.1', 1), 'a', SLOTS, ServerState.READY, 0.0
)


def _fleet(clock: ManualClock, daemons: int = DAEMONS) -> Fleet:
    return Fleet(
        'd1',
        Registry(clock),
        clock,
        RetrySettings(),
        lambda: daemons,
        lambda _: 0.0,
        lambda _: 0.18,
        list,
        random.Random(1),
    )


def _send_what_may_be(fleet: Fleet, most: int = WAITING) -> int:
    sent = 0
    while sent < most and fleet.candidate(SERVER, CONNECTIONS).has_room:
        fleet.sent(SERVER)
        sent += 1
    return sent


def test_a_new_owner_is_not_given_all_that_waited_at_all_daemons() -> None:
    """43 lookups of 9 daemons met one new owner within 0.1 s; it answered 20 of them."""
    clock = ManualClock()
    fleets = [_fleet(clock) for _ in range(DAEMONS)]
    assert 0 < sum(_send_what_may_be(fleet) for fleet in fleets) <= SLOTS + QUEUE


def test_its_first_answer_lets_the_others_follow() -> None:
    clock = ManualClock()
    fleet = _fleet(clock)
    sent = _send_what_may_be(fleet)
    assert sent < WAITING
    fleet.load(SERVER).apply_report(LoadReport(2, 0, SLOTS, 1.0), clock.monotonic())
    fleet.load(SERVER).on_request_ended()
    assert _send_what_may_be(fleet) > 1


def test_each_daemon_may_always_send_one_request() -> None:
    assert _send_what_may_be(_fleet(ManualClock(), daemons=1000)) == 1


def test_nothing_is_shared_out_while_the_number_of_daemons_is_not_known() -> None:
    assert _send_what_may_be(_fleet(ManualClock(), daemons=0)) == SLOTS


def test_a_reload_changes_the_budget_of_repeats_at_once() -> None:
    fleet = _fleet(ManualClock(), daemons=1)
    for _ in range(100):
        fleet.requested('slots', None)
    assert fleet.may_repeat('slots')
    fleet.reload(RetrySettings(ratio=0.0, slack=0.0))
    assert not fleet.may_repeat('slots')
