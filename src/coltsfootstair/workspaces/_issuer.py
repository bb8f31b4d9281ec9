"""Issues permits for the workspaces' requests at all daemons; the keeper's part."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from coltsfootstair.peers import PermitAnswer
from coltsfootstair.permits import PermitIssuer
from coltsfootstair.workspaces._gate import FALLBACK_S
from coltsfootstair.workspaces._rates import DecayingRate

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootstair.clock import Clock
    from coltsfootstair.peers import Report, WorkspacePermitRequest

__all__ = ['WorkspaceIssuer']

SILENT_AFTER_S = 0.7
"""Time without a report after which a daemon may have gone on without the keeper, in seconds;
more than two intervals between reports."""

UNSETTLED_BURST_S = 0.5
"""Time for which permits may be issued at once while limits are not issued in full, in
seconds."""

UNSETTLED_SHARE = 0.5
"""Share of each limit that a keeper issues while daemons that it does not know may go on by
themselves: with a whole limit's requests of these for ``FALLBACK_S``, a window has no more
than the rule allows."""

NEARLY_SETTLED_SHARE = 0.8
"""The same while nearly all daemons are known."""

NEARLY_ALL = 0.9
"""Share of the known number of daemons that counts as nearly all."""

MAX_REDUCED_WAIT_S = 0.3
"""Longest time for which a daemon is told to wait for a permit while less than a limit is
issued, in seconds; the interval between two reports."""

RESERVED_S = FALLBACK_S + 0.5
"""How long the rate of a silent daemon is set aside, in seconds; its last sign of the keeper
may be later than its last report here."""


class WorkspaceIssuer:
    """Issues permits within the limits of workspaces.

    It handles limits that many daemons share while some of them may go on without the keeper:
    what those may use is set aside until it has lapsed.

    :param get_limit: returns the requests a second of a workspace and their burst, by the
        configuration in force here; ``None`` if it has none, and the asking daemon's counts
    :ivar least_share: share of each limit that may be issued in any case
    :ivar is_settled: whether no daemon goes on without this keeper's knowledge, so that limits
        may be issued in full; until then only what the daemons that report have used before
    """

    def __init__(
        self,
        clock: Clock,
        get_limit: Callable[[str], tuple[float, float] | None] = lambda _name: None,
    ) -> None:
        self._clock = clock
        self._get_limit = get_limit
        self._is_issuing = False
        self._permits: PermitIssuer[str] = PermitIssuer(clock, -math.inf)
        self._heard_at_by_daemon: dict[str, float] = {}
        self._rate_by_daemon_by_workspace: dict[str, dict[str, DecayingRate]] = {}
        self._silent_daemons: dict[str, float] = {}
        self._earlier_rates_by_daemon: dict[str, dict[str, float]] = {}
        self.is_settled = False
        self.least_share = UNSETTLED_SHARE

    @property
    def is_issuing(self) -> bool:
        """Whether permits are issued at present."""
        return self._is_issuing

    def set_issuing(self, is_issuing: bool, *, is_first_start: bool = False) -> None:
        """Begin or stop to issue permits.

        Each beginning is without credit, since daemons have gone on without the keeper.

        :param is_first_start: whether no daemon can have sent anything before
        """
        if is_issuing and not self._is_issuing:
            credit_since = -math.inf if is_first_start else self._clock.monotonic()
            self._permits = PermitIssuer(self._clock, credit_since)
        self._is_issuing = is_issuing

    def on_report(self, report: Report) -> None:
        """Record that a daemon is heard, and since when it has not heard the keeper."""
        if report.issued_rates and not self.is_settled:
            self.add_earlier_rates(report.daemon, report.issued_rates)
        if report.keeper_unheard_s <= SILENT_AFTER_S:
            self._heard_at_by_daemon[report.daemon] = self._clock.monotonic()

    def settle(self, *, is_settled: bool, known_count: int) -> None:
        """Decide up to which share limits are issued.

        :param known_count: number of all daemons, as far as is known; 0 if it is not
        """
        self.is_settled = is_settled
        is_nearly = 0 < NEARLY_ALL * known_count <= self.count_heard()
        self.least_share = NEARLY_SETTLED_SHARE if is_nearly else UNSETTLED_SHARE

    def count_heard(self) -> int:
        """Return the number of daemons that report here, and hear this keeper."""
        oldest_at = self._clock.monotonic() - SILENT_AFTER_S
        return sum(heard_at >= oldest_at for heard_at in self._heard_at_by_daemon.values())

    def add_earlier_rates(self, daemon: str, rates: dict[str, float]) -> None:
        """Record the permits a second that a daemon has got from earlier keepers."""
        self._earlier_rates_by_daemon.setdefault(daemon, rates)

    def find_silent(self) -> None:
        """Find the daemons that may go on without the keeper; forget those that can't."""
        now = self._clock.monotonic()
        self._silent_daemons = {}
        for daemon, heard_at in list(self._heard_at_by_daemon.items()):
            if now - heard_at > RESERVED_S:
                del self._heard_at_by_daemon[daemon]
                for rates in self._rate_by_daemon_by_workspace.values():
                    rates.pop(daemon, None)
            elif now - heard_at > SILENT_AFTER_S:
                self._silent_daemons[daemon] = heard_at

    def issue(self, request: WorkspacePermitRequest) -> PermitAnswer:
        """Answer a daemon that asks for permits."""
        if not self._is_issuing:
            return PermitAnswer(request.number, [], 0.0, 0.0, is_issued=False)
        limit_per_s, burst = self._get_limit(request.workspace) or (
            request.limit_per_s,
            request.burst,
        )
        if limit_per_s <= 0:
            # The limit has been lifted; the asking daemon learns it with the configuration.
            return PermitAnswer(request.number, [0.0] * request.count, 0.0, 0.0)
        longest_wait_s = max(MAX_REDUCED_WAIT_S, 1.0 / limit_per_s)
        if not self.is_settled:
            limit_per_s = min(
                limit_per_s,
                max(
                    self.least_share * limit_per_s,
                    self._sum_earlier_rates(request.workspace),
                ),
            )
            burst = min(burst, UNSETTLED_BURST_S * limit_per_s)
        rates = self._rate_by_daemon_by_workspace.setdefault(request.workspace, {})
        reserved_per_s = sum(
            rates[daemon].get(heard_at)
            for daemon, heard_at in self._silent_daemons.items()
            if daemon in rates and daemon != request.daemon
        )
        issued = self._permits.issue(
            request.workspace,
            limit_per_s,
            max(0.0, 1.0 - reserved_per_s / limit_per_s) if limit_per_s else 0.0,
            request.count,
            0.0,
            burst,
        )
        if issued.delays_s:
            rate = rates.setdefault(request.daemon, DecayingRate())
            rate.add(len(issued.delays_s), self._clock.monotonic())
        # A limit that is reduced now may be whole again soon.
        return PermitAnswer(
            request.number,
            issued.delays_s,
            min(longest_wait_s, issued.next_wait_s),
            issued.retry_after_s,
        )

    def _sum_earlier_rates(self, workspace: str) -> float:
        return sum(
            rates.get(workspace, 0.0) for rates in self._earlier_rates_by_daemon.values()
        )
