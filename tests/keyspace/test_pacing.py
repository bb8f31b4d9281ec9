"""Tests of sending large changes that come faster than the link takes them."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from coltsfootstair.http1 import Address
from coltsfootstair.keyspace._broadcast import Broadcaster
from coltsfootstair.keyspace._reports import LatestReports
from coltsfootstair.objects import Change, RelayedChanges, StoredObject
from coltsfootstair.peers import DeltaPart, Report
from tests.virtual_time import LoopClock, run

if TYPE_CHECKING:
    from coltsfootstair.peers import Message


class _Channel:
    def __init__(self) -> None:
        self.revisions: list[int] = []

    def send(self, message: Message, address: Address) -> None:
        assert isinstance(message, DeltaPart)
        self.revisions.append(message.revision)


def test_differences_that_were_replaced_do_not_delay_the_latest_one() -> None:
    """They queued up without a bound, and each daemon heard of versions ever later."""

    async def scenario() -> list[int]:
        reports = LatestReports(LoopClock())
        broadcaster = Broadcaster(reports, Address('10.0.0.1', 1), 300.0)
        channel = _Channel()
        broadcaster.attach(channel)
        source = random.Random(1)
        values = [{'r': [source.randbytes(30_000).hex()]} for _ in range(31)]
        for version in range(1, 31):
            for number in range(80):
                report = Report(f'd{number}', 1, True, 0.3, {}, {}, {})
                reports.put(report, Address(f'10.0.0.{number + 2}', 1))
            before = StoredObject('main', version, values[version - 1])
            change = Change(StoredObject('main', version + 1, values[version]), False, before)
            changes = RelayedChanges('configuration', version, version + 1, [change])
            broadcaster.publish(changes, 1)
            await asyncio.sleep(0.1)
        return channel.revisions

    revisions = run(scenario())
    assert revisions
    assert revisions[-1] >= 28
