"""Real daemons under large configurations that change ten times a second."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.coltsfootstair_platform.large_configurations import (
    PlayOptions,
    play_large_configurations,
)


@pytest.mark.parametrize(
    'options',
    [
        PlayOptions(seed=1, daemon_count=3, size_kib=100, duration_s=4.5),
        PlayOptions(seed=1, daemon_count=3, size_kib=900, duration_s=8.5),
        PlayOptions(
            seed=1, daemon_count=3, size_kib=900, duration_s=9.5, bytes_per_s=600_000.0
        ),
    ],
)
def test_no_route_of_a_large_configuration_that_changes_often_is_denied(
    options: PlayOptions, tmp_path: Path
) -> None:
    """Guards against 404 for routes of the version in force, and versions that come late.

    Meanwhile the store refuses a third of the daemons, and another third restarts.
    """
    result = asyncio.run(play_large_configurations(options, tmp_path))
    assert result.failures == []
    assert result.refusal_count
    assert result.restart_count
    assert result.lags_s
