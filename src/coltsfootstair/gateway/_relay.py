"""Sends requests through other daemons while this one is cut off from backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from coltsfootstair.gateway._attempts import AttemptAccount, decode_account, encode_account
from coltsfootstair.gateway._headers import (
    ACCOUNT_HEADER,
    LEAVING_HEADER,
    REQUEST_ID_HEADER,
    RESULT_HEADER,
    SERVED_BY_HEADER,
    WORKSPACE_HEADER,
    select_callers_headers,
)
from coltsfootstair.gateway._sender import AttemptResult, Outcome
from coltsfootstair.http1 import Answer, BrokenExchangeError, find_first_value

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from coltsfootstair.clock import Clock
    from coltsfootstair.gateway._sender import RequestState
    from coltsfootstair.gateway._types import Dialect
    from coltsfootstair.http1 import Address, ConnectionPool

__all__ = [
    'HelperGate',
    'RelayClient',
    'RelayResult',
    'charge_relayed',
    'classify_relayed',
]

MAX_HELPERS_ASKED = 3
"""Number of daemons that one request is sent to until one takes it."""

MAX_KNOWN_HELPERS = 1000
"""Most daemons of which it is known that they keep accounts."""

CONNECT_TIMEOUT_S = 0.2
"""Time limit for opening a connection to another daemon, in seconds."""

MIN_HELPED_COUNT = 16
"""Number of relayed requests in progress that a daemon accepts even if it has few own ones."""

HELPED_PER_OWN = 2.0
"""Relayed requests in progress that a daemon accepts for each request of its own callers, so
that a third of the daemons can serve the callers of all."""

SERVICE_UNAVAILABLE = 503
REFUSALS_NOT_RUN = frozenset({*range(400, 500), SERVICE_UNAVAILABLE})
"""Statuses of a daemon's own refusals that say that no backend server has run a request."""


class HelperGate:
    """Bounds the requests that this daemon handles for others by its own callers' requests."""

    def __init__(self, get_in_progress_count: Callable[[], int]) -> None:
        self._get_in_progress_count = get_in_progress_count
        self.helped_count = 0

    def has_room(self) -> bool:
        """Whether one more relayed request may be handled."""
        own_count = self._get_in_progress_count() - self.helped_count
        return self.helped_count < max(MIN_HELPED_COUNT, HELPED_PER_OWN * own_count)


class RelayResult(NamedTuple):
    """Outcome of sending a request to another daemon.

    :param answer: its answer, also a refusal of its own that may be passed on
    :param server_name: backend server that has answered, if one has
    :param account: what the request has spent with it; ``None`` if the other daemon does not
        say so, as one of an earlier version
    :param keeps_account: whether a daemon that gave no answer had an account in its last one,
        and so makes one attempt at most
    """

    outcome: Outcome
    answer: Answer | None
    reason: str = ''
    server_name: str | None = None
    is_server_leaving: bool = False
    account: AttemptAccount | None = None
    keeps_account: bool = False


class RelayClient:
    """Sends requests to other daemons over connections of the pool for backend servers.

    :param get_helpers: returns where daemons that reach backend servers take requests of
        others, the nearest first
    """

    def __init__(
        self,
        dialect: Dialect,
        pool: ConnectionPool,
        clock: Clock,
        random_source: random.Random,
        get_helpers: Callable[[], list[Address]],
    ) -> None:
        self._dialect = dialect
        self._pool = pool
        self._clock = clock
        self._random = random_source
        self._get_helpers = get_helpers
        # Daemons whose last answer had an account.
        self._accounting: set[Address] = set()

    def choose_helper(self, request: RequestState) -> Address | None:
        """Return a daemon that a request may be sent to, or ``None``.

        A daemon of an earlier version would count attempts from zero, so only a request that
        has spent none may be sent to one that may be of such a version.
        """
        tried = request.tried_helpers
        if len(tried) >= MAX_HELPERS_ASKED:
            return None
        untried = [
            address
            for address in self._get_helpers()
            if address not in tried
            and (address in self._accounting or not request.attempt_count)
        ]
        return self._random.choice(untried) if untried else None

    async def send(self, request: RequestState, helper: Address) -> RelayResult:
        """Send a request to another daemon, and classify its answer.

        Cancelling it resets the connection, so that the other daemon cancels it too.
        """
        remaining_s = request.times_out_at - self._clock.monotonic()
        try:
            connection = None
            # Only the first answer on a connection can be believed without an id.
            if request.request_id:
                connection = self._pool.take_idle(
                    helper, max_idle_share=0.5, unless_refused_id=request.request_id
                )
            if connection is None:
                connection = await self._pool.open(helper, min(CONNECT_TIMEOUT_S, remaining_s))
        except BrokenExchangeError as error:
            return RelayResult(Outcome.NOT_SENT, None, str(error))
        may_have_run_before, request.may_have_run = request.may_have_run, True
        incoming = request.incoming
        # Its answer must be back before this daemon's own time-out.
        left_s = request.times_out_at - self._clock.monotonic()
        headers = self._dialect.build_relay_headers(
            select_callers_headers(incoming.headers), left_s
        )
        headers += [
            (ACCOUNT_HEADER, encode_account(AttemptAccount.of(request))),
            # So that daemons that do not know the header do not forward it.
            (b'Connection', ACCOUNT_HEADER),
        ]
        if request.workspace is not None:
            headers.append((WORKSPACE_HEADER, request.workspace.name.encode()))
        if incoming.body or find_first_value(incoming.headers, b'content-length') is not None:
            headers.append((b'Content-Length', str(len(incoming.body)).encode()))
        try:
            answer = await connection.exchange(
                incoming.method + b' ' + incoming.target + b' HTTP/1.1',
                headers,
                incoming.body,
                expected_id=request.request_id,
                further_id_header=REQUEST_ID_HEADER,
            )
        except BrokenExchangeError as error:
            if not error.sent:
                request.may_have_run = may_have_run_before
                return RelayResult(Outcome.NOT_SENT, None, str(error))
            keeps_account = helper in self._accounting
            return RelayResult(Outcome.UNKNOWN, None, str(error), keeps_account=keeps_account)
        result = classify_relayed(answer)
        if result.account is None:
            self._accounting.discard(helper)
        else:
            if len(self._accounting) >= MAX_KNOWN_HELPERS:
                self._accounting.clear()
            self._accounting.add(helper)
        if result.outcome is Outcome.NOT_RUN:
            request.may_have_run = may_have_run_before
            connection.record_refusal()
        self._pool.release(connection)
        return result


def classify_relayed(answer: Answer) -> RelayResult:
    """Classify another daemon's answer to a relayed request."""
    account = decode_account(find_first_value(answer.headers, ACCOUNT_HEADER))
    server_name = find_first_value(answer.headers, SERVED_BY_HEADER)
    if server_name is not None:
        is_leaving = find_first_value(answer.headers, LEAVING_HEADER) is not None
        name = server_name.decode('latin-1')
        has_failed = account is not None and account.outcome is Outcome.FAILED
        outcome = Outcome.FAILED if has_failed else Outcome.ANSWERED
        reason = f'status {answer.status}' if has_failed else ''
        return RelayResult(outcome, answer, reason, name, is_leaving, account)
    result_code = find_first_value(answer.headers, RESULT_HEADER)
    if result_code is not None and answer.status in REFUSALS_NOT_RUN:
        # What it refuses of the request itself may rest on an older configuration.
        refusal = answer if answer.status == SERVICE_UNAVAILABLE else None
        reason = f'refused {result_code.decode("latin-1")}'
        return RelayResult(Outcome.NOT_RUN, refusal, reason, account=account)
    return RelayResult(Outcome.UNKNOWN, None, f'status {answer.status}', account=account)


def charge_relayed(request: RequestState, result: RelayResult) -> AttemptResult | None:
    """Charge a request with what another daemon spent.

    Returns the outcome of the attempt that it made; ``None`` if it made none. Without an
    account, it may have made all attempts that it was allowed to make. One of an earlier
    version counts them from zero.
    """
    if result.outcome is Outcome.NOT_SENT:
        return None
    account = result.account
    if account is None:
        most = 1 if result.keeps_account else request.route.max_attempts
        request.attempt_count = max(request.attempt_count + 1, most)
        return AttemptResult(result.outcome, result.answer, result.reason)
    has_spent = account.attempt_count > request.attempt_count
    is_server_ended = account.ended_exchange_count > request.ended_exchange_count
    request.attempt_count = max(request.attempt_count, account.attempt_count)
    request.ended_exchange_count = max(
        request.ended_exchange_count, account.ended_exchange_count
    )
    request.tried_servers.update(account.tried_servers)
    if not has_spent:
        return None
    outcome: Outcome = result.outcome
    if outcome is Outcome.NOT_RUN and account.outcome is not None:
        outcome = account.outcome
    return AttemptResult(outcome, result.answer, result.reason, is_server_ended)
