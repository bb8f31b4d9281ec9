"""Slopes of what a coordinator sends its backend servers all the time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bench._fit import measure_slope
from bench._gauge import measure_thread_cpu_us
from coltsfootstair.backend import Grant, HttpBackendServer
from coltsfootstair.standin import BackendServerStandin

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bench._fit import Slope

__all__ = ['measure_grant_slopes']

CALLS = (100, 200, 400)
ROWS = (16, 64, 256)
GRANTS = 100
TIMEOUT_S = 5.0
GRANT_S = 1.0


def measure_grant_slopes() -> Iterator[Slope]:
    """Measure probes and grants to one stand-in in this process."""
    standin = BackendServerStandin('127.0.0.1:0', 'lookup-1', 'north')
    standin.start()
    port = HttpBackendServer(standin.address)
    try:
        yield measure_slope(
            'probe_us',
            'us per call',
            "a coordinator's processor time for a probe",
            CALLS,
            lambda count: measure_thread_cpu_us(lambda: _probe(port, count)),
        )
        yield measure_slope(
            'grant_us_per_row',
            'us per row',
            f"a coordinator's processor time for a grant order, mean of {GRANTS}",
            ROWS,
            lambda rows: measure_thread_cpu_us(lambda: _grant(port, rows)) / GRANTS,
        )
    finally:
        port.close()
        standin.stop()


def _probe(port: HttpBackendServer, count: int) -> None:
    for _ in range(count):
        port.probe(TIMEOUT_S)


def _grant(port: HttpBackendServer, rows: int) -> None:
    health = port.probe(TIMEOUT_S)
    grants = [Grant(row, row, 1 << 24) for row in range(rows)]
    for _ in range(GRANTS):
        until = health.clock + GRANT_S
        if not port.grant(grants, until, health.instance, TIMEOUT_S).accepted:
            raise RuntimeError('the stand-in refused a grant')
