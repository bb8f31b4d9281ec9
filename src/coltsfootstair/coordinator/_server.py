"""What the coordinator knows of one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.coordinator._messages import RowsGranted, ServerLoad
from coltsfootstair.document import ServiceKind

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
        self.granted = RowsGranted(server.name, {}, 0.0)

    @property
    def idempotent(self) -> bool:
        """Whether requests of the service may be repeated."""
        return self.service.kind is ServiceKind.LOOKUP

    def token(self, row: int, now: float) -> int | None:
        """Return the fencing token of a row that is granted at ``now``."""
        if now >= self.granted.valid_until:
            return None
        return self.granted.token_by_row.get(row)

    def remembers(self, head: RequestHead) -> bool:
        """Tell whether a request's operation id keeps it from running twice."""
        return bool(head.operation_id) and not self.idempotent

    def load(self) -> ServerLoad:
        """Return what the server is given at present."""
        admission = self.admission
        limit = admission.limit
        if admission.draining:
            phase = 'draining' if admission.occupied else 'drained'
        elif not admission.may_act:
            phase = 'not granted'
        else:
            phase = 'warm' if limit >= admission.slots else 'ramping'
        return ServerLoad(phase, admission.occupied, len(admission.waiting), limit)
