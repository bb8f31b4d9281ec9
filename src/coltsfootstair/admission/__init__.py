"""Admission control: limits, queues and refuses the requests for one backend server."""

from __future__ import annotations

from coltsfootstair.admission._decide import handle
from coltsfootstair.admission._messages import (
    Abandoned,
    Cancelled,
    CoordinationChanged,
    Dispatch,
    DrainChanged,
    Effect,
    Event,
    Finished,
    InheritedRequests,
    LimitsChanged,
    Outcome,
    ProbeResult,
    Refuse,
    Submitted,
    Tick,
)
from coltsfootstair.admission._policy import AdmissionPolicy
from coltsfootstair.admission._state import AdmissionState, new_state

__all__ = [
    'Abandoned',
    'AdmissionPolicy',
    'AdmissionState',
    'Cancelled',
    'CoordinationChanged',
    'Dispatch',
    'DrainChanged',
    'Effect',
    'Event',
    'Finished',
    'InheritedRequests',
    'LimitsChanged',
    'Outcome',
    'ProbeResult',
    'Refuse',
    'Submitted',
    'Tick',
    'handle',
    'new_state',
]
