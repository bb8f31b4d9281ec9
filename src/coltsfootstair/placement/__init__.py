"""Chooses the backend server for a request, or refuses the request."""

from __future__ import annotations

from coltsfootstair.placement._admission import AdmissionGate
from coltsfootstair.placement._choose import (
    MAX_REQUESTS_PER_SLOT,
    MIN_RETRY_AFTER_S,
    Candidate,
    Placement,
    PlacementRefusal,
    RequestConstraints,
    choose_server,
    compute_limit_without_report,
)
from coltsfootstair.placement._load import LoadEstimate, LoadReport, ServiceMean
from coltsfootstair.placement._paths import ServerPaths
from coltsfootstair.placement._pauses import (
    Pause,
    ReturnPace,
    ServerPauses,
    compute_caller_retry_after_s,
    compute_return_pace,
)
from coltsfootstair.placement._request_pacer import RequestPacer
from coltsfootstair.placement._urgency import UrgencyGate

__all__ = [
    'MAX_REQUESTS_PER_SLOT',
    'MIN_RETRY_AFTER_S',
    'AdmissionGate',
    'Candidate',
    'LoadEstimate',
    'LoadReport',
    'Pause',
    'Placement',
    'PlacementRefusal',
    'RequestConstraints',
    'RequestPacer',
    'ReturnPace',
    'ServerPaths',
    'ServerPauses',
    'ServiceMean',
    'UrgencyGate',
    'choose_server',
    'compute_caller_retry_after_s',
    'compute_limit_without_report',
    'compute_return_pace',
]
