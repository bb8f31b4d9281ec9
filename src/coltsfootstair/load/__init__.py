"""Load generator: sends requests as callers do, and checks the answers."""

from __future__ import annotations

from coltsfootstair.load._arrivals import Arrival, generate_arrivals
from coltsfootstair.load._caller import Answer, Caller, Request
from coltsfootstair.load._generator import LoadGenerator
from coltsfootstair.load._loads import BookingLoad, Load, LookupLoad, UploadLoad
from coltsfootstair.load._samples import Outcome, Sample, compute_latencies_ms

__all__ = [
    'Answer',
    'Arrival',
    'BookingLoad',
    'Caller',
    'Load',
    'LoadGenerator',
    'LookupLoad',
    'Outcome',
    'Request',
    'Sample',
    'UploadLoad',
    'compute_latencies_ms',
    'generate_arrivals',
]
