"""Decides which requests of workspaces are served, and on whose behalf."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.permits import Denial
from coltsfootstair.results import Ran, Refusal, ResultCode
from coltsfootstair.routes import UNCONFIRMED_RETRY_S
from coltsfootstair.workspaces import KeyDenial, Workspace, identify

if TYPE_CHECKING:
    from coltsfootstair.gateway._sender import RequestState
    from coltsfootstair.metrics import GatewayMetrics
    from coltsfootstair.routes import ConfigurationAge
    from coltsfootstair.workspaces import WorkspaceGate

__all__ = ['WorkspaceAdmission']


class WorkspaceAdmission:
    """Identifies the workspaces of one daemon's requests, and admits them within its limit."""

    def __init__(
        self, age: ConfigurationAge, gate: WorkspaceGate, metrics: GatewayMetrics
    ) -> None:
        self._age = age
        self._gate = gate
        self._metrics = metrics

    def identify(self, request: RequestState, key: bytes | None) -> Refusal | None:
        """Set the workspace of a request with a route; return its refusal if it is denied."""
        configuration = request.route_table.configuration
        if not configuration.has_workspaces:
            return None
        identity = identify(
            key,
            configuration.workspace_by_digest,
            has_workspaces=True,
            needs_key=request.route.needs_key,
            is_current=self._age.is_current,
            is_recent=self._age.is_recent,
        )
        match identity:
            case Workspace():
                request.workspace = identity
                request.trace.workspace = identity.name
                return None
            case None:
                return None
            case KeyDenial.UNKNOWN_KEY:
                self._metrics.count_workspace_request('', 'unknown key')
                version = configuration.version
                detail = 'no key was sent' if key is None else f'not in version {version:08x}'
                return Refusal(ResultCode.UNKNOWN_KEY, Ran.NO, detail)
            case KeyDenial.NOT_CURRENT:
                self._metrics.count_workspace_request('', 'not confirmed')
                return Refusal(
                    ResultCode.KEY_NOT_CONFIRMED,
                    Ran.NO,
                    f'the configuration was last confirmed {self._age.age_s:.1f} s ago',
                    UNCONFIRMED_RETRY_S,
                )

    async def admit(self, request: RequestState) -> Refusal | None:
        """Get a permit if the workspace has a limit; return the refusal if there is none."""
        workspace = request.workspace
        if workspace is None:
            return None
        admitted = await self._gate.admit(workspace)
        if not isinstance(admitted, Denial):
            request.workspace_permit = admitted
            return None
        if admitted.is_over_limit:
            self._metrics.count_workspace_request(workspace.name, 'over limit')
            return Refusal(
                ResultCode.WORKSPACE_OVER_LIMIT,
                Ran.NO,
                f'{workspace.name} may make {workspace.limit_per_s:g} requests a second',
                admitted.retry_after_s,
            )
        self._metrics.count_workspace_request(workspace.name, 'limit not known')
        return Refusal(
            ResultCode.WORKSPACE_LIMIT_UNKNOWN,
            Ran.NO,
            f'no keeper issues permits for {workspace.name} at present',
            admitted.retry_after_s,
        )

    def on_refused(self, request: RequestState, refusal: Refusal) -> None:
        """Give the permit of a request back if it surely has not run."""
        permit = request.workspace_permit
        if permit is None or request.workspace is None or refusal.ran is not Ran.NO:
            return
        request.workspace_permit = None
        self._gate.give_back(request.workspace.name, permit)
