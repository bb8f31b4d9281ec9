"""Tests of finding the daemons that have an older configuration in force."""

from __future__ import annotations

import asyncio
from typing import Any

import structlog

from coltsfootstair.keyspace._version_lag import LaggingDaemon, VersionLag
from coltsfootstair.peers import Report
from tests.virtual_time import LoopClock, run


def _report(name: str, version: int) -> Report:
    return Report(name, 1, True, 0.3, {}, {}, {}, configuration_version=version)


def test_a_lagging_daemon_is_named_with_its_missing_versions_and_since_when() -> None:
    async def work() -> tuple[list[LaggingDaemon], list[Any]]:
        lag = VersionLag(LoopClock())
        for version in (4, 7, 11):
            lag.on_version(version)
            await asyncio.sleep(0.75)
        reports = [_report('a', 11), _report('b', 4), _report('c', 7), _report('d', 0)]
        with structlog.testing.capture_logs() as lines:
            lag.log(reports)
            lag.log(reports)
        return lag.list_lagging(reports), list(lines)

    lagging, lines = run(work())
    assert lagging == [LaggingDaemon('b', 4, 2, 1.5), LaggingDaemon('c', 7, 1, 0.75)]
    assert [line['event'] for line in lines] == ['configuration lags']
    assert lines[0]['daemons'] == [{'daemon': 'b', 'version': 4, 'missing': 2, 'lag_s': 1.5}]
