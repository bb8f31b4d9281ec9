"""Real daemons go on following the store while odd objects come and go in it."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.coltsfootstair_platform.odd_entries import ODD_FORMS, play_odd_entries


@pytest.mark.parametrize('daemon_count', [2, 9])
def test_no_odd_object_stops_a_daemon_from_following_the_store(
    daemon_count: int, tmp_path: Path
) -> None:
    """Guards against a follower that ends, or never reads a list, because of one object."""
    failures, keeper_hit_count = asyncio.run(
        play_odd_entries(daemon_count, list(ODD_FORMS), tmp_path)
    )
    assert failures == []
    assert keeper_hit_count > 0
