"""How many requests a backend server is seen to bear at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coltsfootstair.admission._messages import Observed
    from coltsfootstair.admission._policy import AdmissionPolicy

__all__ = ['Ramp']


class Ramp:
    """A window of requests in flight that starts at one and grows on answers.

    Only answers to requests that were sent at the present window and filled it count.
    A failed request puts the window back to one and doubles the answers that the next
    growth needs. A probe can hold the window down, and never widens it.
    """

    __slots__ = (
        '_answers',
        '_cold_since',
        '_instance',
        '_needed',
        '_policy',
        '_probed',
        '_slow_answers',
        'stage',
        'window',
    )

    def __init__(self, policy: AdmissionPolicy) -> None:
        self._policy = policy
        self._instance = ''
        self._probed = False
        self._cold_since: float | None = None
        self._needed = policy.growth_answers
        self._answers = 0
        self._slow_answers = 0
        self.window = 1
        self.stage = 0

    def observed(self, probe: Observed, now: float) -> None:
        """Take in a probe's answer."""
        if not probe.ok:
            return
        restarted = bool(self._instance) and probe.instance != self._instance
        self._instance = probe.instance
        newly_cold = probe.cold and self._cold_since is None
        if restarted or newly_cold:
            self._reset()
        self._probed = True
        if not probe.cold:
            self._cold_since = None
        elif newly_cold or restarted:
            self._cold_since = now

    def answered(self, stage: int, in_flight: int, slots: int, now: float) -> None:
        """Count an answer to a request sent at ``stage`` that ended with ``in_flight``."""
        if stage != self.stage or in_flight < self.window:
            return
        self._answers += 1
        if self.window >= slots:
            if self._answers >= self._needed:
                self._needed = self._policy.growth_answers
            return
        if self._answers < self._needed or not self._may_grow(now):
            return
        self.window += 1
        self._next_stage()

    def failed(self, stage: int) -> None:
        """Go back to one slot, unless the request was sent before the last change down."""
        if stage < self.stage and self.window == 1:
            return
        if self.window > 1:
            self._needed = min(self._needed * 2, self._policy.growth_answers_max)
        self._reset()

    def timed(self, seconds: float, usual_s: float) -> None:
        """Go back to one slot after several answers in a row that took far too long."""
        limit = max(usual_s * self._policy.latency_jump, self._policy.latency_jump_floor_s)
        if seconds <= limit:
            self._slow_answers = 0
            return
        self._slow_answers += 1
        if self._slow_answers >= self._policy.latency_jump_answers and self.window > 1:
            self._reset()

    def _may_grow(self, now: float) -> bool:
        if not self._probed:
            return False
        trust_s = self._policy.cold_word_trust_s
        return self._cold_since is None or now - self._cold_since > trust_s

    def _reset(self) -> None:
        self.window = 1
        self._probed = False
        self._next_stage()

    def _next_stage(self) -> None:
        self.stage += 1
        self._answers = 0
        self._slow_answers = 0
