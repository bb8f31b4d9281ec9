"""Carries one request from its caller to the coordinator, and the answer back."""

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
"""Set aside for a body that is passed on in portions: both ends' credit windows."""

SAFE_METHODS = frozenset({'GET', 'HEAD', 'OPTIONS'})


class Relay:
    """Routes, sends, waits and tries again, for each request on its caller's thread."""

    def __init__(self, dependencies: RelayDependencies, uploads: UploadBudget) -> None:
        self._dependencies = dependencies
        self._uploads = uploads
        self._budget = RetryBudget()
        self._lock = threading.Lock()

    def serve(self, request: CallerRequest) -> RelayedAnswer | Refusal:
        """Return the whole way's outcome: an answer that streams, or a refusal."""
        with self._lock:
            self._budget.record_request()
            refusal = self._reserve(request)
        if refusal is not None:
            return self._as_update(request, refusal)
        try:
            return self._serve(request)
        finally:
            with self._lock:
                self._uploads.release(request.request_id)

    def _reserve(self, request: CallerRequest) -> Refusal | None:
        if 0 <= request.body.length <= INLINE_BODY_BYTES:
            return None
        return self._uploads.reserve(request.request_id, STREAMED_BODY_BYTES)

    def _serve(self, request: CallerRequest) -> RelayedAnswer | Refusal:
        deadline = self._dependencies.clock.monotonic() + request.timeout_s
        try:
            body = read_inline(request.body)
        except BodyReadError as error:
            return Refusal(ResultCode.BODY_TRUNCATED, Ran.NO, str(error))
        operation_id = self._operation_id(request)
        attempts = 0
        in_doubt = False
        while True:
            outcome, body_taken = self._attempt(
                request, operation_id, body, deadline, attempts
            )
            attempts += 1
            if not isinstance(outcome, Refusal):
                return outcome
            in_doubt = in_doubt or outcome.ran is Ran.UNKNOWN
            known = self._known(request, operation_id, body_kept=not body_taken)
            pause = retry_delay_s(attempts, self._dependencies.random.random())
            in_time = self._dependencies.clock.monotonic() + pause < deadline
            if not in_time or not self._may_repeat(known, outcome):
                return self._as_update(request, outcome, in_doubt=in_doubt)
            self._pause(pause)

    def _attempt(
        self,
        request: CallerRequest,
        operation_id: str,
        body: InlineBody,
        deadline: float,
        attempts: int,
    ) -> tuple[RelayedAnswer | Refusal, bool]:
        route = self._dependencies.router.route(request.service, request.key, operation_id)
        if isinstance(route, Refusal):
            return route, False
        job = CoordinatorCall(
            self._dependencies, request, operation_id, route, body, deadline, attempts
        )
        return job.run(), job.body_taken

    def _operation_id(self, request: CallerRequest) -> str:
        """Return the caller's operation id, or one by which a lost answer can be found."""
        service = self._service(request.service)
        if request.operation_id or service is None or service.kind is not ServiceKind.BOOKING:
            return request.operation_id
        if request.method in SAFE_METHODS:
            return ''
        return generate_operation_id(
            self._dependencies.clock.now().timestamp(),
            self._dependencies.random.getrandbits(74),
        )

    def _service(self, name: str) -> Service | None:
        services = self._dependencies.router.document.services
        return next((item for item in services if item.name == name), None)

    def _known(
        self, request: CallerRequest, operation_id: str, *, body_kept: bool
    ) -> AttemptFacts:
        service = self._service(request.service)
        idempotent = service is not None and service.kind is ServiceKind.LOOKUP
        divided = service is not None and service.divided_by_key
        remembered = bool(operation_id) and not idempotent
        elsewhere = not divided and not operation_id
        return AttemptFacts(idempotent, remembered, body_kept, elsewhere)

    def _may_repeat(self, known: AttemptFacts, refusal: Refusal) -> bool:
        repeat = decide_retry(known, refusal)
        if repeat is RetryDecision.SPEND_BUDGET:
            with self._lock:
                return self._budget.try_spend()
        return repeat is RetryDecision.ROUTE_AGAIN

    @staticmethod
    def _as_update(
        request: CallerRequest, refusal: Refusal, *, in_doubt: bool = False
    ) -> Refusal:
        """Return the refusal as it is true of all attempts together."""
        if in_doubt and refusal.ran is Ran.NO:
            refusal = refusal._replace(ran=Ran.UNKNOWN)
        if refusal.ran is Ran.UNKNOWN and refusal.code is ResultCode.COORDINATOR_UNREACHABLE:
            refusal = refusal._replace(code=ResultCode.OUTCOME_UNKNOWN)
        return mask_unverified_outcome(refusal, has_operation_id=bool(request.operation_id))

    def _pause(self, seconds: float) -> None:
        threading.Event().wait(seconds)
