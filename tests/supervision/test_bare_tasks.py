"""No part of the role starts a task whose end nobody notices."""

from __future__ import annotations

from pathlib import Path

import coltsfootstair

ROOT = Path(coltsfootstair.__file__).parents[2]

ALLOWED = {
    # The module itself.
    'src/coltsfootstair/supervision/_supervisor.py',
    # Their ends are handled: ``_on_keeper_task_ended``, ``_on_task_ended``.
    'src/coltsfootstair/keyspace/_keeper.py',
    'src/coltsfootstair/keyspace/_service.py',
    # One request each, which is answered in any case; a probe of one server.
    'src/coltsfootstair/http1/_server.py',
    'src/coltsfootstair/gateway/_sender.py',
}


def test_tasks_are_started_only_where_their_ends_are_handled() -> None:
    found = {
        str(path.relative_to(ROOT))
        for folder in ('src', 'platform')
        for path in (ROOT / folder).rglob('*.py')
        if any(call in path.read_text() for call in ('create_task(', 'ensure_future('))
    }
    assert found == ALLOWED
