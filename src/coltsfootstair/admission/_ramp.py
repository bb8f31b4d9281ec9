"""Limits the requests in flight at a backend server while its capacity is unknown."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coltsfootstair.admission._messages import ProbeResult
    from coltsfootstair.admission._policy import AdmissionPolicy

__all__ = ['Ramp']

RESET_FAILURE_COUNT = 2
"""Failures without an answer in between that reset the window."""


class Ramp:
    """A window of requests in flight that starts at one and grows with answers.

    A generation starts whenever the window grows or is reset. An answer counts only if its
    request was sent in the current generation and ended while the window was full.
    The window is reset to one after two failures without an answer in between, or after
    one failure before the first answer of a wider window. When a window wider than one is
    reset because of failures, the next growth needs twice as many answers. A probe can
    reset the window or prevent its growth, but never widens it.
    """

    __slots__ = (
        '_answers',
        '_cold_since',
        '_failures',
        '_generation_started_at',
        '_growth_backoff',
        '_instance',
        '_policy',
        '_probe_answered',
        '_slow_answers',
        'generation',
        'window',
    )

    def __init__(self, policy: AdmissionPolicy, now: float) -> None:
        self._policy = policy
        self._instance = ''
        self._probe_answered = False
        self._cold_since: float | None = None
        self._growth_backoff = 1
        self._answers = 0
        self._failures = 0
        self._slow_answers = 0
        self._generation_started_at = now
        self.window = 1
        self.generation = 0

    @property
    def seems_warm(self) -> bool:
        """Whether a probe was answered since the last reset and no cold start is reported."""
        return self._probe_answered and self._cold_since is None

    def apply_probe(self, probe: ProbeResult, now: float) -> bool:
        """Apply the result of a probe; return whether the server has restarted."""
        if not probe.ok:
            return False
        restarted = bool(self._instance) and probe.instance != self._instance
        self._instance = probe.instance
        newly_cold = probe.cold and self._cold_since is None
        if restarted or newly_cold:
            self._reset(now)
        self._probe_answered = True
        if not probe.cold:
            self._cold_since = None
        elif newly_cold or restarted:
            self._cold_since = now
        return restarted

    def count_answer(
        self, generation: int, in_flight_count: int, slots: int, now: float
    ) -> None:
        """Count an answer, and grow the window if there are enough of them.

        :param generation: the generation in which the request was sent
        :param in_flight_count: requests in flight when it was answered, with itself
        :param slots: upper bound of the window
        """
        self._failures = 0
        if generation != self.generation or in_flight_count < self.window:
            return
        self._answers += 1
        if self._answers < self._answers_to_grow():
            return
        if self.window >= slots:
            self._growth_backoff = 1
        elif self._may_grow(now):
            self._grow(now)

    def grow_on_uploads(self, slots: int, now: float) -> None:
        """Grow the window if it has been full of uploads for long, while others wait."""
        generation_s = now - self._generation_started_at
        if (
            self.window >= slots
            or generation_s < self._policy.upload_growth_s * self._growth_backoff
        ):
            return
        if self._may_grow(now):
            self._grow(now)

    def count_failure(self, generation: int, now: float) -> None:
        """Count a failure, and reset the window if needed.

        A failure of a request that was sent before the window was reset to one is ignored,
        since it shows nothing new.

        :param generation: the generation in which the request was sent
        """
        if generation < self.generation and self.window == 1:
            return
        self._failures += 1
        is_unproven = self.window > 1 and not self._answers
        if self._failures < RESET_FAILURE_COUNT and not is_unproven:
            return
        if self.window > 1:
            self._growth_backoff = min(
                self._growth_backoff * 2, self._policy.growth_backoff_max
            )
        self._reset(now)

    def check_latency(self, duration_s: float, usual_s: float, now: float) -> None:
        """Reset the window after several consecutive answers that took far too long.

        :param duration_s: how long the answer took, in seconds
        :param usual_s: the usual time of an answer, in seconds
        """
        limit_s = max(
            usual_s * self._policy.latency_jump_factor, self._policy.latency_jump_min_s
        )
        if duration_s <= limit_s:
            self._slow_answers = 0
            return
        self._slow_answers += 1
        if self._slow_answers >= self._policy.latency_jump_answers and self.window > 1:
            self._reset(now)

    def _answers_to_grow(self) -> int:
        is_first = self.window == 1
        policy = self._policy
        base = policy.first_growth_answers if is_first else policy.growth_answers
        return base * self._growth_backoff

    def _may_grow(self, now: float) -> bool:
        if not self._probe_answered:
            return False
        timeout_s = self._policy.cold_report_timeout_s
        return self._cold_since is None or now - self._cold_since > timeout_s

    def _grow(self, now: float) -> None:
        self.window += 1
        self._start_generation(now)

    def _reset(self, now: float) -> None:
        self.window = 1
        self._probe_answered = False
        self._failures = 0
        self._start_generation(now)

    def _start_generation(self, now: float) -> None:
        self.generation += 1
        self._generation_started_at = now
        self._answers = 0
        self._slow_answers = 0
