"""Chooses the backend server for a request, or refuses the request."""

from __future__ import annotations

from coltsfootstair.placement._admission import AdmissionGate
from coltsfootstair.placement._choose import (
    Candidate,
    Placement,
    PlacementRefusal,
    RequestConstraints,
    choose_server,
    compute_limit_without_report,
)
from coltsfootstair.placement._load import LoadEstimate, LoadReport, ServiceMean
from coltsfootstair.placement._pauses import ServerPauses, compute_caller_retry_after_s
from coltsfootstair.placement._request_pacer import RequestPacer

__all__ = [
    'AdmissionGate',
    'Candidate',
    'LoadEstimate',
    'LoadReport',
    'Placement',
    'PlacementRefusal',
    'RequestConstraints',
    'RequestPacer',
    'ServerPauses',
    'ServiceMean',
    'choose_server',
    'compute_caller_retry_after_s',
    'compute_limit_without_report',
]
