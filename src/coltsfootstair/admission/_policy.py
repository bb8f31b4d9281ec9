"""Settings of admission, passed as a parameter so that policies can be compared."""

from __future__ import annotations

import math
from typing import NamedTuple

__all__ = ['AdmissionPolicy']


class AdmissionPolicy(NamedTuple):
    """Parameters of a backend server's queue and ramp.

    :param max_waiting_per_slot: requests that may wait for each slot
    :param first_growth_answers: answers after which a window of one request grows to two
    :param growth_answers: answers after which a full, wider window grows by one request
    :param growth_backoff_max: upper bound of the factor that multiplies the needed answers;
        the factor doubles each time the window is reset after it grew
    :param upload_growth_s: seconds after which a window full of uploads grows by one request
    :param latency_jump_factor: multiple of the usual latency that counts as a jump;
        infinite if slow answers are not taken as a sign of a cold start
    :param latency_jump_min_s: seconds up to which a latency never counts as a jump
    :param latency_jump_answers: consecutive slow answers that reset the window
    :param cold_report_timeout_s: seconds after which a server that still reports a cold
        start, but answers, may be given a wider window all the same
    """

    max_waiting_per_slot: int = 16
    first_growth_answers: int = 24
    growth_answers: int = 6
    growth_backoff_max: int = 16
    upload_growth_s: float = 2.0
    latency_jump_factor: float = math.inf
    latency_jump_min_s: float = 0.05
    latency_jump_answers: int = 3
    cold_report_timeout_s: float = 60.0
