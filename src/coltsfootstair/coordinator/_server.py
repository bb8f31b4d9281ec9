"""What the coordinator knows of one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.coordinator._messages import RowsGranted, ServerLoad
from coltsfootstair.document import ServiceKind
from coltsfootstair.ownership import HASH_ROWS_PER_TABLE

if TYPE_CHECKING:
    from coltsfootstair.admission import AdmissionState
    from coltsfootstair.backend import BackendServerPort
    from coltsfootstair.coordinator._exchange import Exchange
    from coltsfootstair.coordinator._operations import OperationKeeper
    from coltsfootstair.document import BackendServer, Service
    from coltsfootstair.inner import RequestHead

__all__ = ['CoordinatedServer']


class CoordinatedServer:
    """What the coordinator knows of one backend server."""

    def __init__(
        self,
        server: BackendServer,
        service: Service,
        port: BackendServerPort,
        admission: AdmissionState,
        keeper: OperationKeeper,
    ) -> None:
        self.server = server
        self.service = service
        self.port = port
        self.admission = admission
        self.keeper = keeper
        self.lease_epoch = 0
        self.exchange_by_id: dict[str, Exchange] = {}
        self.granted = RowsGranted(server.name)

    @property
    def idempotent(self) -> bool:
        """Whether requests of the service may be repeated."""
        return self.service.kind is ServiceKind.LOOKUP

    def token(self, head: RequestHead, now: float) -> int | None:
        """Return the fencing token of a request's row, if it is granted at ``now``."""
        granted = self.granted
        if now >= granted.valid_until:
            return None
        # A hot key belongs to its own row only, and that row to no other key.
        hot_row = granted.hot_row_by_key.get(head.key)
        if hot_row != (head.slot if head.slot >= HASH_ROWS_PER_TABLE else None):
            return None
        return granted.token_by_row.get(head.slot)

    def busy_rows(self) -> frozenset[int]:
        """Return the rows that a request waits or runs for."""
        heads = [exchange.head for exchange in self.exchange_by_id.values()]
        rows = {head.slot for head in heads}
        rows |= {self.granted.hot_row_by_key.get(head.key, head.slot) for head in heads}
        return frozenset(rows)

    def remembers(self, head: RequestHead) -> bool:
        """Tell whether a request's operation id keeps it from running twice."""
        return bool(head.operation_id) and not self.idempotent

    def load(self) -> ServerLoad:
        """Return what the server is given at present."""
        admission = self.admission
        limit = admission.limit
        if admission.draining:
            phase = 'draining' if admission.occupied else 'drained'
        elif not admission.may_coordinate:
            phase = 'not granted'
        else:
            phase = 'warm' if limit >= admission.slots else 'ramping'
        return ServerLoad(phase, len(admission.in_flight_by_id), len(admission.waiting), limit)
