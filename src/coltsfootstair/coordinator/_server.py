"""The state that a coordinator has of one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.coordinator._messages import RowsGranted, ServerLoad
from coltsfootstair.document import ServiceKind
from coltsfootstair.ownership import HASH_ROWS_PER_TABLE

if TYPE_CHECKING:
    from coltsfootstair.admission import AdmissionState
    from coltsfootstair.backend import BackendServerPort
    from coltsfootstair.coordinator._exchange import Exchange
    from coltsfootstair.coordinator._operations import OperationDeduplicator
    from coltsfootstair.document import BackendServer, Service
    from coltsfootstair.inner import RequestHead

__all__ = ['CoordinatedServer']


class CoordinatedServer:
    """The state that a coordinator has of one backend server.

    ``granted_rows`` has the rows that requests may be sent for at present.
    """

    def __init__(
        self,
        server: BackendServer,
        service: Service,
        client: BackendServerPort,
        admission: AdmissionState,
        deduplicator: OperationDeduplicator,
    ) -> None:
        self.server = server
        self.service = service
        self.client = client
        self.admission = admission
        self.deduplicator = deduplicator
        self.lease_epoch = 0
        self.exchange_by_id: dict[str, Exchange] = {}
        self.granted_rows = RowsGranted(server.name)

    @property
    def is_idempotent(self) -> bool:
        """Whether requests of the service may run more than once."""
        return self.service.kind is ServiceKind.LOOKUP

    def find_token(self, head: RequestHead, now: float) -> int | None:
        """Return the fencing token of a request's row; ``None`` if it is not granted.

        :param now: local monotonic seconds
        """
        granted_rows = self.granted_rows
        if now >= granted_rows.valid_until:
            return None
        # A hot key is served under its own row only, and that row serves no other key.
        hot_row = granted_rows.hot_row_by_key.get(head.key)
        if hot_row != (head.row if head.row >= HASH_ROWS_PER_TABLE else None):
            return None
        return granted_rows.token_by_row.get(head.row)

    def busy_rows(self) -> frozenset[int]:
        """Return the rows for which requests wait or run."""
        # Busy are the row that a request names and, for a hot key, also its present hot row.
        heads = [exchange.head for exchange in self.exchange_by_id.values()]
        rows = {head.row for head in heads}
        rows |= {self.granted_rows.hot_row_by_key.get(head.key, head.row) for head in heads}
        return frozenset(rows)

    def is_deduplicated(self, head: RequestHead) -> bool:
        """Return whether the request has an operation id that must run at most once."""
        return bool(head.operation_id) and not self.is_idempotent

    def load(self) -> ServerLoad:
        """Return the load and limit of the server at present."""
        admission = self.admission
        limit = admission.limit
        if admission.draining:
            phase = 'draining' if admission.occupied else 'drained'
        elif not admission.may_coordinate:
            phase = 'not granted'
        else:
            phase = 'warm' if limit >= admission.slots else 'ramping'
        return ServerLoad(phase, len(admission.in_flight_by_id), len(admission.waiting), limit)
