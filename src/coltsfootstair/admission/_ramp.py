"""How many requests a backend server is seen to bear at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coltsfootstair.admission._messages import ProbeResult
    from coltsfootstair.admission._policy import AdmissionPolicy

__all__ = ['Ramp']

FAILURES = 2


class Ramp:
    """A window of requests in flight that starts at one and grows on answers.

    Only answers to requests that were sent at the present window and filled it count.
    Two failures without an answer between, or one right after the window grew, put it
    back to one; where growth had been too much, the next needs twice the answers. A probe
    can hold the window down, and never widens it.
    """

    __slots__ = (
        '_answers',
        '_cold_since',
        '_failures',
        '_instance',
        '_patience',
        '_policy',
        '_probed',
        '_slow_answers',
        '_stage_at',
        'stage',
        'window',
    )

    def __init__(self, policy: AdmissionPolicy, now: float) -> None:
        self._policy = policy
        self._instance = ''
        self._probed = False
        self._cold_since: float | None = None
        self._patience = 1
        self._answers = 0
        self._failures = 0
        self._slow_answers = 0
        self._stage_at = now
        self.window = 1
        self.stage = 0

    @property
    def seems_warm(self) -> bool:
        """Whether a probe was answered since the last reset, and none says cold."""
        return self._probed and self._cold_since is None

    def observed(self, probe: ProbeResult, now: float) -> bool:
        """Take in a probe's answer; return whether the server has restarted."""
        if not probe.ok:
            return False
        restarted = bool(self._instance) and probe.instance != self._instance
        self._instance = probe.instance
        newly_cold = probe.cold and self._cold_since is None
        if restarted or newly_cold:
            self._reset(now)
        self._probed = True
        if not probe.cold:
            self._cold_since = None
        elif newly_cold or restarted:
            self._cold_since = now
        return restarted

    def answered(self, stage: int, in_flight: int, slots: int, now: float) -> None:
        """Count an answer to a request sent at ``stage`` that ended with ``in_flight``."""
        self._failures = 0
        if stage != self.stage or in_flight < self.window:
            return
        self._answers += 1
        if self._answers < self._needed():
            return
        if self.window >= slots:
            self._patience = 1
        elif self._may_grow(now):
            self._grow(now)

    def filled(self, slots: int, now: float) -> None:
        """Take in that only uploads are in flight and others wait."""
        full_s = now - self._stage_at
        if self.window >= slots or full_s < self._policy.growth_s * self._patience:
            return
        if self._may_grow(now):
            self._grow(now)

    def failed(self, stage: int, now: float) -> None:
        """Count a failure; one of a request sent at a wider window says nothing new."""
        if stage < self.stage and self.window == 1:
            return
        self._failures += 1
        unproven = self.window > 1 and not self._answers
        if self._failures < FAILURES and not unproven:
            return
        if self.window > 1:
            self._patience = min(self._patience * 2, self._policy.patience_max)
        self._reset(now)

    def timed(self, seconds: float, usual_s: float, now: float) -> None:
        """Go back to one slot after several answers in a row that took far too long."""
        limit = max(
            usual_s * self._policy.latency_jump_factor, self._policy.latency_jump_floor_s
        )
        if seconds <= limit:
            self._slow_answers = 0
            return
        self._slow_answers += 1
        if self._slow_answers >= self._policy.latency_jump_answers and self.window > 1:
            self._reset(now)

    def _needed(self) -> int:
        first = self.window == 1
        policy = self._policy
        base = policy.first_growth_answers if first else policy.growth_answers
        return base * self._patience

    def _may_grow(self, now: float) -> bool:
        if not self._probed:
            return False
        trust_s = self._policy.cold_word_trust_s
        return self._cold_since is None or now - self._cold_since > trust_s

    def _grow(self, now: float) -> None:
        self.window += 1
        self._next_stage(now)

    def _reset(self, now: float) -> None:
        self.window = 1
        self._probed = False
        self._failures = 0
        self._next_stage(now)

    def _next_stage(self, now: float) -> None:
        self.stage += 1
        self._stage_at = now
        self._answers = 0
        self._slow_answers = 0
