"""Admission control: limits, queues and refuses the requests for one backend server."""

from __future__ import annotations

from coltsfootstair.admission._decide import handle
from coltsfootstair.admission._messages import (
    AssignSlot,
    CoordinationChanged,
    DrainChanged,
    Effect,
    Event,
    Finished,
    InheritedRequests,
    Interrupted,
    LimitsChanged,
    Outcome,
    ProbeResult,
    Refuse,
    Submitted,
    Tick,
    Withdrawn,
)
from coltsfootstair.admission._policy import AdmissionPolicy
from coltsfootstair.admission._state import AdmissionState, new_state

__all__ = [
    'AdmissionPolicy',
    'AdmissionState',
    'AssignSlot',
    'CoordinationChanged',
    'DrainChanged',
    'Effect',
    'Event',
    'Finished',
    'InheritedRequests',
    'Interrupted',
    'LimitsChanged',
    'Outcome',
    'ProbeResult',
    'Refuse',
    'Submitted',
    'Tick',
    'Withdrawn',
    'handle',
    'new_state',
]
