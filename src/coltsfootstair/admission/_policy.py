"""The settings of admission, so that two versions can be measured against each other."""

from __future__ import annotations

import math
from typing import NamedTuple

__all__ = ['AdmissionPolicy']


class AdmissionPolicy(NamedTuple):
    """How a backend server's queue and ramp behave.

    :param waiting_per_slot: requests that may wait for each slot
    :param first_growth_answers: answers at one slot before there are two
    :param growth_answers: answers at a full window before it grows by one slot more
    :param patience_max: bound on the factor that failed growth doubles
    :param growth_s: seconds at a window full of uploads before it grows by one slot
    :param latency_jump: factor over the usual latency that counts as a jump; infinite if
        slow answers are no sign of a cold start
    :param latency_jump_floor_s: seconds below which no latency counts as a jump
    :param latency_jump_answers: answers in a row that must show the jump
    :param cold_word_trust_s: seconds for which a standing report of a cold start stops
        growth, if the server answers all the same
    """

    waiting_per_slot: int = 16
    first_growth_answers: int = 24
    growth_answers: int = 6
    patience_max: int = 16
    growth_s: float = 2.0
    latency_jump_factor: float = math.inf
    latency_jump_floor_s: float = 0.05
    latency_jump_answers: int = 3
    cold_word_trust_s: float = 60.0
