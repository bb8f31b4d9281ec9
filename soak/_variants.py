"""Daemons that are broken on purpose, one for each promise: a soak must catch each.

``python -m soak._variants NAME`` runs one in place of the real program.
"""

from __future__ import annotations

import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

from soak._truth import Promise

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ['PROMISE_BY_VARIANT']

ROOT = Path(__file__).parents[1]

PROMISE_BY_VARIANT = {
    'moves-without-release': Promise.SOLE_OWNER,
    'repeats-everything': Promise.AT_MOST_ONCE,
    'denies-what-ran': Promise.TRUE_REFUSAL,
    'takes-any-answer': Promise.WHOLE_ANSWER,
    'changes-ids': Promise.KNOWN_REQUEST,
    'uses-leaving-servers': Promise.DRAINED,
    'ignores-evacuations': Promise.EVACUATED,
    'keeps-first-configuration': Promise.CONFIGURED,
    'ignores-cold-starts': Promise.COLD_RATE,
    'repeats-without-budget': Promise.REPEATS,
    'works-for-nobody': Promise.ABANDONED,
    'waits-for-ever': Promise.IN_TIME,
    'stops-at-once': Promise.GRACEFUL,
    'never-recovers': Promise.RECOVERED,
    'fails-by-itself': Promise.STEADY,
}


def _break(name: str) -> None:
    """Break the code as the variant has it."""
    match name:
        case 'moves-without-release':
            from coltsfootstair.keyspace._owner_grants import OwnerGrants

            _replace(OwnerGrants, 'reclaim', _returns_later(None))
        case 'repeats-everything':
            from coltsfootstair.gateway._dispatcher import Dispatcher

            _replace(Dispatcher, '_may_go_on', lambda _self, request, _: request.attempts < 3)
        case 'denies-what-ran':
            from coltsfootstair.gateway._sender import RequestState

            _replace(RequestState, 'may_have_run', property(lambda _: False, lambda *_: None))
        case 'takes-any-answer':
            from coltsfootstair.http1 import Connection

            def connection_reuse(self: Any, data: bytes) -> None:
                self._kept = getattr(self, '_kept', b'') + data
                if self._waiting is not None and not self._waiting.done():
                    data, self._kept = self._kept, b''
                    self._expected_id = None
                    self._parser.feed_data(data)

            _replace(Connection, 'data_received', connection_reuse)
        case 'changes-ids':
            from coltsfootstair_platform import HeaderDialect

            passed_on = HeaderDialect.request_headers

            def with_other_id(*args: Any) -> list[tuple[bytes, bytes]]:
                return [
                    (name, value + b'0' if name.lower() == b'x-request-id' else value)
                    for name, value in passed_on(*args)
                ]

            _replace(HeaderDialect, 'request_headers', with_other_id)
        case 'uses-leaving-servers':
            from coltsfootstair.registry import Registry

            _replace(Registry, 'is_usable', lambda self, server: server in self._by_name)
        case 'ignores-evacuations':
            from coltsfootstair.registry import Registry

            _replace(Registry, 'evacuate', lambda *_: None)
        case 'keeps-first-configuration':
            from coltsfootstair.gateway._subscribers import ConfigurationSubscriber

            _once(ConfigurationSubscriber)
        case 'ignores-cold-starts':
            from coltsfootstair.placement import ColdPacer

            _replace(ColdPacer, 'get_wait_s', lambda *_: 0.0)
        case 'repeats-without-budget':
            from coltsfootstair.gateway._fleet import Fleet

            _replace(Fleet, 'may_repeat', lambda *_: True)
        case 'works-for-nobody':
            from coltsfootstair.gateway import Gateway

            _replace(Gateway, 'caller_left', lambda *_: True)
        case 'waits-for-ever':
            from coltsfootstair.gateway import _dispatcher

            _replace(_dispatcher, 'ANSWER_MARGIN_S', -3.0)
        case 'stops-at-once':
            from coltsfootstair.gateway import Gateway

            _replace(Gateway, '_drain', _returns_later(None))
        case 'never-recovers':
            from coltsfootstair.keyspace import Keeper

            _replace(Keeper, '_try_to_take_over', _returns_later(None))
        case 'fails-by-itself':
            from coltsfootstair.gateway._dispatcher import Dispatcher

            _replace(Dispatcher, '_passed_on', lambda *_: 1 / 0)
        case _:
            raise ValueError(f'variant {name!r}: must be one of {sorted(PROMISE_BY_VARIANT)}')


def _replace(owner: object, name: str, value: object) -> None:
    if not hasattr(owner, name) and name != 'may_have_run':
        raise AttributeError(f'{owner!r} has no {name!r} to break')
    setattr(owner, name, value)


def _returns_later(value: object) -> Callable[..., Any]:
    async def replacement(*_: object) -> object:
        return value

    return replacement


def _once(subscriber: type) -> None:
    """Let a subscriber take its first table and no later one."""

    def get(self: Any) -> Any:
        return self.__dict__.get('first')

    def keep(self: Any, table: Any) -> None:
        if self.__dict__.get('first') is None:
            self.__dict__['first'] = table

    _replace_property(subscriber, 'table', property(get, keep))


def _replace_property(owner: type, name: str, value: property) -> None:
    setattr(owner, name, value)


if __name__ == '__main__':
    for folder in ('src', 'platform'):
        sys.path.insert(0, str(ROOT / folder))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    _break(sys.argv[1])
    from coltsfootstair_platform import main

    sys.exit(main())
