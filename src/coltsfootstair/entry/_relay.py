"""Relays requests from callers to coordinators, and retries refused attempts."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from coltsfootstair.document import ServiceKind
from coltsfootstair.entry._body import BodyReadError
from coltsfootstair.entry._call import (
    INLINE_BODY_BYTES,
    CoordinatorCall,
    InlineBody,
    read_inline,
)
from coltsfootstair.operations import generate_operation_id
from coltsfootstair.results import Ran, Refusal, ResultCode
from coltsfootstair.retries import (
    AttemptFacts,
    RetryBudget,
    RetryDecision,
    UploadBudget,
    decide_retry,
    mask_unverified_outcome,
    retry_delay_s,
)

if TYPE_CHECKING:
    from coltsfootstair.document import Service
    from coltsfootstair.entry._types import CallerRequest, RelayDependencies, RelayedAnswer

__all__ = ['Relay']

STREAMED_BODY_BYTES = 1024 * 1024
"""Memory reserved for a body that is streamed: the credit windows of both ends, in bytes."""

SAFE_METHODS = frozenset({'GET', 'HEAD', 'OPTIONS'})


class Relay:
    """Routes, sends and retries requests, each on the server thread that received it."""

    def __init__(self, dependencies: RelayDependencies, uploads: UploadBudget) -> None:
        self._dependencies = dependencies
        self._uploads = uploads
        self._retry_budget = RetryBudget()
        self._lock = threading.Lock()

    def serve(self, request: CallerRequest) -> RelayedAnswer | Refusal:
        """Return the outcome of all attempts: an answer that streams, or a refusal."""
        with self._lock:
            self._retry_budget.record_request()
            refusal = self._reserve_upload_memory(request)
        if refusal is not None:
            return self._summarise_refusal(request, refusal)
        try:
            return self._serve_with_retries(request)
        finally:
            with self._lock:
                self._uploads.release(request.request_id)

    def _reserve_upload_memory(self, request: CallerRequest) -> Refusal | None:
        if 0 <= request.body.length <= INLINE_BODY_BYTES:
            return None
        return self._uploads.reserve(request.request_id, STREAMED_BODY_BYTES)

    def _serve_with_retries(self, request: CallerRequest) -> RelayedAnswer | Refusal:
        deadline = self._dependencies.clock.monotonic() + request.timeout_s
        try:
            body = read_inline(request.body)
        except BodyReadError as error:
            return Refusal(ResultCode.BODY_TRUNCATED, Ran.NO, str(error))
        operation_id = self._choose_operation_id(request)
        attempt_count = 0
        may_have_run = False
        while True:
            outcome, is_body_consumed = self._attempt(
                request, operation_id, body, deadline, attempt_count
            )
            attempt_count += 1
            if not isinstance(outcome, Refusal):
                return outcome
            may_have_run = may_have_run or outcome.ran is Ran.UNKNOWN
            facts = self._collect_facts(
                request, operation_id, is_body_replayable=not is_body_consumed
            )
            delay_s = retry_delay_s(attempt_count, self._dependencies.random.random())
            is_in_time = self._dependencies.clock.monotonic() + delay_s < deadline
            if not is_in_time or not self._may_retry(facts, outcome):
                return self._summarise_refusal(request, outcome, may_have_run=may_have_run)
            self._wait(delay_s)

    def _attempt(
        self,
        request: CallerRequest,
        operation_id: str,
        body: InlineBody,
        deadline: float,
        attempt_count: int,
    ) -> tuple[RelayedAnswer | Refusal, bool]:
        route = self._dependencies.router.route(request.service, request.key, operation_id)
        if isinstance(route, Refusal):
            return route, False
        call = CoordinatorCall(
            self._dependencies, request, operation_id, route, body, deadline, attempt_count
        )
        return call.run(), call.is_body_consumed

    def _choose_operation_id(self, request: CallerRequest) -> str:
        """Return the caller's operation id, or generate one for a booking without an id.

        With an id, a retry after a lost answer finds the outcome of the first attempt.
        """
        service = self._find_service(request.service)
        if request.operation_id or service is None or service.kind is not ServiceKind.BOOKING:
            return request.operation_id
        if request.method in SAFE_METHODS:
            return ''
        return generate_operation_id(
            self._dependencies.clock.now().timestamp(),
            self._dependencies.random.getrandbits(74),
        )

    def _find_service(self, name: str) -> Service | None:
        services = self._dependencies.router.document.services
        return next((item for item in services if item.name == name), None)

    def _collect_facts(
        self, request: CallerRequest, operation_id: str, *, is_body_replayable: bool
    ) -> AttemptFacts:
        service = self._find_service(request.service)
        is_idempotent = service is not None and service.kind is ServiceKind.LOOKUP
        is_divided_by_key = service is not None and service.divided_by_key
        is_deduplicated = bool(operation_id) and not is_idempotent
        has_alternative_server = not is_divided_by_key and not operation_id
        return AttemptFacts(
            is_idempotent, is_deduplicated, is_body_replayable, has_alternative_server
        )

    def _may_retry(self, facts: AttemptFacts, refusal: Refusal) -> bool:
        decision = decide_retry(facts, refusal)
        if decision is RetryDecision.SPEND_BUDGET:
            with self._lock:
                return self._retry_budget.try_spend()
        return decision is RetryDecision.ROUTE_AGAIN

    @staticmethod
    def _summarise_refusal(
        request: CallerRequest, refusal: Refusal, *, may_have_run: bool = False
    ) -> Refusal:
        """Return the refusal that is true of all attempts together."""
        if may_have_run and refusal.ran is Ran.NO:
            refusal = refusal._replace(ran=Ran.UNKNOWN)
        if refusal.ran is Ran.UNKNOWN and refusal.code is ResultCode.COORDINATOR_UNREACHABLE:
            refusal = refusal._replace(code=ResultCode.OUTCOME_UNKNOWN)
        return mask_unverified_outcome(refusal, has_operation_id=bool(request.operation_id))

    def _wait(self, delay_s: float) -> None:
        threading.Event().wait(delay_s)
