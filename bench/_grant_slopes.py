"""Slopes of the probes and grant calls that a coordinator sends periodically."""

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

CALL_COUNTS = (100, 200, 400)
ROW_COUNTS = (16, 64, 256)
GRANT_CALL_COUNT = 100
TIMEOUT_S = 5.0
GRANT_DURATION_S = 1.0


def measure_grant_slopes() -> Iterator[Slope]:
    """Measure probes of and grant calls to one stand-in that runs in this process."""
    standin = BackendServerStandin('127.0.0.1:0', 'lookup-1', 'north')
    standin.start()
    client = HttpBackendServer(standin.address)
    try:
        yield measure_slope(
            'probe_us',
            'us per call',
            "a coordinator's processor time for a probe",
            CALL_COUNTS,
            lambda call_count: measure_thread_cpu_us(lambda: _send_probes(client, call_count)),
        )
        yield measure_slope(
            'grant_us_per_row',
            'us per row',
            f"a coordinator's processor time for a grant order, mean of {GRANT_CALL_COUNT}",
            ROW_COUNTS,
            lambda row_count: (
                measure_thread_cpu_us(lambda: _send_grants(client, row_count))
                / GRANT_CALL_COUNT
            ),
        )
    finally:
        client.close()
        standin.stop()


def _send_probes(client: HttpBackendServer, call_count: int) -> None:
    for _ in range(call_count):
        client.probe(TIMEOUT_S)


def _send_grants(client: HttpBackendServer, row_count: int) -> None:
    health = client.probe(TIMEOUT_S)
    grants = [Grant(row, row, 1 << 24) for row in range(row_count)]
    for _ in range(GRANT_CALL_COUNT):
        expiry = health.clock + GRANT_DURATION_S
        if not client.grant(grants, expiry, health.instance, TIMEOUT_S).accepted:
            raise RuntimeError('the stand-in refused a grant call')
