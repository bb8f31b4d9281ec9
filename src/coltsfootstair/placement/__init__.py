"""Decides which backend server gets a request, and which request is refused."""

from __future__ import annotations

from coltsfootstair.placement._admission import AdmissionGate
from coltsfootstair.placement._choose import (
    Candidate,
    Demand,
    Place,
    Refused,
    place,
    unreported_share,
)
from coltsfootstair.placement._cold import ColdPacer
from coltsfootstair.placement._load import LoadReport, ServerLoad

__all__ = [
    'AdmissionGate',
    'Candidate',
    'ColdPacer',
    'Demand',
    'LoadReport',
    'Place',
    'Refused',
    'ServerLoad',
    'place',
    'unreported_share',
]
