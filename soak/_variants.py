"""Deliberately broken variants of the daemon, at least one for each promise.

The soak must catch each of them. ``python -m soak._variants NAME`` runs one in place of the
real program.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
from typing import TYPE_CHECKING, Any

from soak._checker import Promise
from soak._program import prepare

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ['PROMISE_BY_VARIANT']

PROMISE_BY_VARIANT = {
    'moves-without-release': Promise.SOLE_OWNER,
    'closes-without-reset': Promise.SOLE_OWNER,
    'repeats-everything': Promise.AT_MOST_ONCE,
    'denies-what-ran': Promise.REFUSED_NOT_RUN,
    'takes-any-answer': Promise.INTACT_ANSWER,
    'changes-ids': Promise.KNOWN_REQUEST,
    'uses-leaving-servers': Promise.DRAINED,
    'ignores-evacuations': Promise.EVACUATED,
    'keeps-first-configuration': Promise.CONFIGURATION_IN_TIME,
    'ends-followers': Promise.CONFIGURATION_IN_TIME,
    'takes-restored-configurations': Promise.CONFIGURATION_IN_TIME,
    'takes-restored-tables': Promise.SOLE_OWNER,
    'ignores-store-eras': Promise.SOLE_OWNER,
    'ignores-cold-starts': Promise.COLD_RATE,
    'overlooks-leaving-answers': Promise.DRAINED,
    'overlooks-pauses': Promise.LEFT_ALONE,
    'repeats-without-budget': Promise.RETRY_BUDGET,
    'works-for-nobody': Promise.ABANDONED,
    'waits-for-ever': Promise.ANSWERED_IN_TIME,
    'stops-at-once': Promise.GRACEFUL_STOP,
    'never-recovers': Promise.RECOVERED,
    'fails-by-itself': Promise.NO_DAEMON_FAILURE,
    'refuses-odd-lists': Promise.CONFIGURATION_IN_TIME,
    'leaves-tasks-ended': Promise.NO_DAEMON_FAILURE,
    'believes-nameless-answers': Promise.REFUSED_NOT_RUN,
}


def _apply_variant(name: str) -> None:
    """Replace the attributes of the program that the variant ``name`` breaks."""
    match name:
        case 'moves-without-release':
            from coltsfootstair.keyspace._owner_grants import OwnerGrants

            _replace_attribute(OwnerGrants, 'reclaim', _async_returning(None))
        case 'closes-without-reset':
            from coltsfootstair.http1 import _client
            from coltsfootstair.sockets import finish_on_close

            _replace_attribute(_client, 'reset_on_close', finish_on_close)
        case 'repeats-everything':
            from coltsfootstair.gateway._dispatcher import Dispatcher

            _replace_attribute(
                Dispatcher, '_try_retry', lambda _self, request, _: request.attempt_count < 3
            )
        case 'denies-what-ran':
            from coltsfootstair.gateway._sender import RequestState

            _replace_attribute(
                RequestState, 'may_have_run', property(lambda _: False, lambda *_: None)
            )
        case 'takes-any-answer':
            from coltsfootstair.http1 import Connection

            def accept_any_data(self: Any, data: bytes) -> None:
                self._early_data = getattr(self, '_early_data', b'') + data
                if self._pending_answer is not None and not self._pending_answer.done():
                    data, self._early_data = self._early_data, b''
                    self._expected_id = None
                    self._parser.feed_data(data)

            _replace_attribute(Connection, 'data_received', accept_any_data)
        case 'changes-ids':
            from coltsfootstair_platform import HeaderDialect

            request_headers = HeaderDialect.build_request_headers

            def change_request_id(*args: Any) -> list[tuple[bytes, bytes]]:
                return [
                    (name, value + b'0' if name.lower() == b'x-request-id' else value)
                    for name, value in request_headers(*args)
                ]

            _replace_attribute(HeaderDialect, 'build_request_headers', change_request_id)
        case 'uses-leaving-servers':
            from coltsfootstair.registry import Registry

            _replace_attribute(
                Registry, 'is_usable', lambda self, server: server in self._server_by_name
            )
        case 'ignores-evacuations':
            from coltsfootstair.registry import Registry

            _replace_attribute(Registry, 'set_evacuated_data_centres', lambda *_: None)
        case 'keeps-first-configuration':
            from coltsfootstair.gateway._subscribers import ConfigurationSubscriber

            _keep_first_table(ConfigurationSubscriber)
        case 'ends-followers':
            from coltsfootstair.objects import Follower
            from coltsfootstair.supervision import SupervisedTask

            _replace_attribute(Follower, 'run', _ending(Follower.run))
            # Each task runs once only.
            _replace_attribute(SupervisedTask, 'run', lambda task: task._run())
        case 'takes-restored-configurations':
            from coltsfootstair.gateway._subscribers import ConfigurationSubscriber

            _take_later_eras(ConfigurationSubscriber)
        case 'takes-restored-tables':
            from coltsfootstair.keyspace._service import ServiceKeeper

            _replace_attribute(ServiceKeeper, '_recover_table', _async_identity)
        case 'ignores-store-eras':
            from coltsfootstair_platform import HttpObjectStore

            _replace_attribute(HttpObjectStore, '_read_era', lambda *_: 0)
        case 'ignores-cold-starts':
            from coltsfootstair.placement import RequestPacer

            _replace_attribute(RequestPacer, 'get_wait_s', lambda *_: 0.0)
        case 'overlooks-leaving-answers':
            _drop_answer_header(b'server-leaving')
        case 'overlooks-pauses':
            _drop_answer_header(b'retry-after')
        case 'repeats-without-budget':
            from coltsfootstair.gateway._fleet import Fleet

            _replace_attribute(Fleet, 'try_spend_retry', lambda *_: True)
        case 'works-for-nobody':
            from coltsfootstair.gateway import Gateway

            _replace_attribute(Gateway, 'on_caller_left', lambda *_: True)
        case 'waits-for-ever':
            from coltsfootstair.gateway import _dispatcher

            _replace_attribute(_dispatcher, 'ANSWER_MARGIN_S', -3.0)
        case 'stops-at-once':
            from coltsfootstair.gateway import Gateway

            _replace_attribute(Gateway, '_finish_requests', _async_returning(None))
        case 'never-recovers':
            from coltsfootstair.keyspace import Keeper

            _replace_attribute(Keeper, '_try_to_take_over', _async_returning(None))
        case 'fails-by-itself':
            from coltsfootstair.gateway._dispatcher import Dispatcher

            _replace_attribute(Dispatcher, '_pass_on_answer', lambda *_: 1 / 0)
        case 'refuses-odd-lists':
            from coltsfootstair.errors import StoreUnavailableError
            from coltsfootstair_platform import _answers

            def refuse_answer(_: bytes, error: Exception) -> None:
                raise StoreUnavailableError(f'the answer has an odd object: {error}')

            _replace_attribute(_answers, '_salvage_item', refuse_answer)
        case 'leaves-tasks-ended':
            from coltsfootstair.supervision import SupervisedTask

            async def run_once(self: Any) -> None:
                try:
                    await self._run()
                except Exception as error:
                    self._failures.record(self.name, error)

            _replace_attribute(SupervisedTask, 'run', run_once)
        case 'believes-nameless-answers':
            from coltsfootstair.http1 import Connection

            is_own_answer = Connection._is_own_answer

            def is_own_or_nameless(self: Any) -> bool:
                pending = self._pending_answer
                is_awaited = pending is not None and not pending.done()
                return is_own_answer(self) or (is_awaited and not self._find_answered_id())

            _replace_attribute(Connection, '_is_own_answer', is_own_or_nameless)
        case _:
            raise ValueError(
                f'variant {name!r} is unknown: it must be one of {sorted(PROMISE_BY_VARIANT)}'
            )


def _replace_attribute(owner: object, name: str, value: object) -> None:
    # The exemption of ``may_have_run`` has no effect as long as it is a slot of
    # ``RequestState``, since the class has an attribute of that name then.
    if not hasattr(owner, name) and name != 'may_have_run':
        raise AttributeError(f'{owner!r} has no attribute {name!r} to replace')
    setattr(owner, name, value)


def _async_returning(value: object) -> Callable[..., Any]:
    async def replacement(*_: object) -> object:
        return value

    return replacement


async def _async_identity(_: object, value: object) -> object:
    return value


def _ending(run: Callable[..., Any]) -> Callable[..., Any]:
    """Return ``run`` so that it ends after some seconds, without an exception."""

    async def run_for_a_while(follower: object) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(15.0):
                await run(follower)

    return run_for_a_while


def _keep_first_table(subscriber: type) -> None:
    """Let a subscriber keep its first table and ignore later ones."""

    def get_first_table(self: Any) -> Any:
        return self.__dict__.get('first')

    def set_first_table(self: Any, table: Any) -> None:
        if self.__dict__.get('first') is None:
            self.__dict__['first'] = table

    _replace_property(subscriber, 'route_table', property(get_first_table, set_first_table))


def _drop_answer_header(dropped_name: bytes) -> None:
    """Let the daemon not see one header of the answers of servers."""
    from coltsfootstair.http1 import Connection

    on_header = Connection.on_header

    def on_other_header(self: Any, name: bytes, value: bytes) -> None:
        if name.lower() != dropped_name:
            on_header(self, name, value)

    _replace_attribute(Connection, 'on_header', on_other_header)


def _take_later_eras(subscriber: Any) -> None:
    """Let a subscriber apply any configuration of a later era of the store."""
    from coltsfootstair.objects import era_of

    apply_newer = subscriber._apply

    def apply_later_era(self: Any, item: Any) -> None:
        if era_of(item.revision) > self._era:
            self.route_table = None
        apply_newer(self, item)

    _replace_attribute(subscriber, '_apply', apply_later_era)


def _replace_property(owner: type, name: str, value: property) -> None:
    """Replace an attribute that only the instances of ``owner`` have by a property."""
    setattr(owner, name, value)


if __name__ == '__main__':
    prepare()
    _apply_variant(sys.argv[1])
    from coltsfootstair_platform import main

    sys.exit(main())
