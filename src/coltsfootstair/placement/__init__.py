"""Chooses the backend server for a request, or refuses the request."""

from __future__ import annotations

from coltsfootstair.placement._admission import AdmissionGate
from coltsfootstair.placement._choose import (
    Candidate,
    Placement,
    PlacementRefusal,
    RequestConstraints,
    choose_server,
    compute_unreported_limit,
)
from coltsfootstair.placement._cold import ColdPacer
from coltsfootstair.placement._load import LoadEstimate, LoadReport

__all__ = [
    'AdmissionGate',
    'Candidate',
    'ColdPacer',
    'LoadEstimate',
    'LoadReport',
    'Placement',
    'PlacementRefusal',
    'RequestConstraints',
    'choose_server',
    'compute_unreported_limit',
]
