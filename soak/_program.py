"""The real program, with a hook by which the soak ends its long-lived tasks.

``python -m soak._program`` runs it. A signal of ``SIGNAL_BY_TASK`` makes the named task fail
once, if it gets to work within ``VALID_S``. Only the soak has this hook.
"""

from __future__ import annotations

import functools
import signal
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ['INJECTED', 'KEEPER_TASKS', 'SIGNAL_BY_TASK', 'TASKS', 'VALID_S', 'prepare']

ROOT = Path(__file__).parents[1]

INJECTED = 'injected by the soak'
"""Text of the injected failures, by which they are told from others in logs."""

VALID_S = 2.5
"""Time after the signal in which a task fails when it gets to work, in seconds."""

FOLLOWER_TASKS = ('config', 'servers', 'evacuations')
"""Tasks that follow objects of this kind."""

KEEPER_TASKS = (*FOLLOWER_TASKS, 'keeper lease', 'plans of keys', 'renewals of grants')
"""Tasks that get to work often only at the keeper: the followers of others wait for it."""

TASKS = (
    *KEEPER_TASKS,
    'keeper',
    'expiry of servers',
    'expiry of connections',
)
SIGNAL_BY_TASK = {name: int(signal.SIGRTMIN) + index for index, name in enumerate(TASKS)}
"""Signal that ends each task."""

_asked_at_by_task: dict[str, float] = {}


def _ask(number: int, _: object) -> None:
    """Handle a signal of ``SIGNAL_BY_TASK``."""
    _asked_at_by_task[TASKS[number - signal.SIGRTMIN]] = time.monotonic()


def _fail_if_asked(task: str) -> None:
    """Fail if the soak has asked this task to; a request counts once."""
    asked_at = _asked_at_by_task.pop(task, None)
    if asked_at is not None and time.monotonic() - asked_at < VALID_S:
        raise RuntimeError(INJECTED)


def _hook(owner: Any, method: str, get_task: Callable[[Any], str]) -> None:
    """Let calls of a method fail on request."""
    original = getattr(owner, method)

    def replacement(self: Any, *args: Any, **kwargs: Any) -> Any:
        _fail_if_asked(get_task(self))
        return original(self, *args, **kwargs)

    setattr(owner, method, replacement)


def _get_name(task: str, _: object) -> str:
    return task


def prepare() -> None:
    """Prepare this process as the program does, and install the hook."""
    # As in the program: signals before the event loop runs must not end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    for number in SIGNAL_BY_TASK.values():
        signal.signal(number, _ask)
    for folder in ('src', 'platform'):
        sys.path.insert(0, str(ROOT / folder))

    from coltsfootstair.http1 import ConnectionPool
    from coltsfootstair.keyspace import Keeper
    from coltsfootstair.keyspace._service import ServiceKeeper
    from coltsfootstair.objects import Follower
    from coltsfootstair.registry import Registry

    _hook(Follower, '_list_or_watch_once', lambda follower: str(follower.kind))
    for owner, method, task in (
        (Keeper, '_wait_until_report_due', 'keeper'),
        (Keeper, '_update_stored_lease', 'keeper lease'),
        (ServiceKeeper, '_plan_write_and_grant', 'plans of keys'),
        (ServiceKeeper, '_renew_grants', 'renewals of grants'),
        (Registry, 'remove_expired', 'expiry of servers'),
        (ConnectionPool, 'close_expired', 'expiry of connections'),
    ):
        _hook(owner, method, functools.partial(_get_name, task))


if __name__ == '__main__':
    prepare()
    from coltsfootstair_platform import main

    sys.exit(main())
