"""Measures both deployments at the sizes that the requirements name, on stand-ins.

Run it as ``python -m bench.deployments``.
"""

from __future__ import annotations

import json
import platform
import sys
from pathlib import Path
from typing import Annotated, Any, Literal

import cyclopts
from cyclopts import Parameter

from bench._phases import Measurement, Phase, measure_deployment
from bench._plans import DEPLOYMENTS, Deployment
from coltsfootstair.demo import (
    compute_churn,
    compute_imbalance,
    compute_unavailability,
    render_latency_table,
    render_ownership_table,
    render_per_second_tables,
    render_table,
    render_verdict_table,
    summarise_latency,
)

SWITCH_INTERVAL_S = 0.0005
"""The interpreter's switch interval, in seconds.

It is shorter than the default of 0.005 s, so that the threads wait less for each other.
"""

EXIT_PROMISE_BROKEN = 1

app = cyclopts.App(help='Measure both deployments of the requirements on stand-ins.')


@app.default
def run(
    *,
    deployment: Literal['lakeshore', 'tesfaye', 'both'] = 'both',
    seconds: float = 30.0,
    seed: int = 1,
    json_file: Annotated[Path | None, Parameter(name='--json')] = None,
    plot: Path | None = None,
) -> int:
    """Measure, print tables, and exit with status 1 if a promise was broken.

    :param seconds: length of each of the four phases
    :param seed: seed of the load and of the slowed backend servers
    :param json_file: file that the figures are written to
    :param plot: PNG file for curves of answered, refused and failed requests over time
    """
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    names = list(DEPLOYMENTS) if deployment == 'both' else [deployment]
    measurements = []
    for name in names:
        measurement = measure_deployment(DEPLOYMENTS[name], seconds, seed)
        print(_format_report(measurement, DEPLOYMENTS[name]), flush=True)
        measurements.append(measurement)
    if json_file is not None:
        json_file.write_text(
            json.dumps([_make_figures(measurement) for measurement in measurements], indent=1)
            + '\n'
        )
    if plot is not None:
        from bench._plot import plot_requests

        plot_requests(
            {
                measurement.deployment: measurement.taken_out.record
                for measurement in measurements
            },
            plot,
        )
    all_kept = all(
        verdict.is_kept for measurement in measurements for verdict in measurement.verdicts
    )
    return 0 if all_kept else EXIT_PROMISE_BROKEN


def _format_report(measurement: Measurement, deployment: Deployment) -> str:
    plan = deployment.plan
    parts = [
        (
            f'{measurement.deployment}: {len(plan.daemons)} daemons, '
            f'{len(plan.servers)} backend servers, Python {platform.python_version()}\n'
        )
    ]
    for phase in (measurement.undisturbed, measurement.taken_out, measurement.killed):
        parts += [f'== {phase.title}', render_ownership_table(phase.record)]
    parts += [
        f'== {measurement.taken_out.title}',
        render_per_second_tables(measurement.taken_out.record),
    ]
    for phase in (
        measurement.undisturbed,
        measurement.slowed,
        measurement.taken_out,
        measurement.killed,
    ):
        parts += [f'== {phase.title}', render_latency_table(phase.record)]
    calls_per_s = measurement.store_calls_per_s
    headings = ('kind', 'calls a second')
    rows = [(kind, f'{rate:.1f}') for kind, rate in calls_per_s.items()]
    parts += [
        render_table('Store calls of all daemons, without changes or faults', headings, rows)
    ]
    parts += [render_verdict_table(measurement.verdicts)]
    return '\n'.join(parts)


def _make_figures(measurement: Measurement) -> dict[str, Any]:
    phases = (
        measurement.undisturbed,
        measurement.slowed,
        measurement.taken_out,
        measurement.killed,
    )
    return {
        'deployment': measurement.deployment,
        'phases': [_make_phase_figures(phase) for phase in phases],
        'store_calls_per_s': measurement.store_calls_per_s,
        'promises': {
            v.promise: {'cases': v.case_count, 'faults': v.violations}
            for v in measurement.verdicts
        },
    }


def _make_phase_figures(phase: Phase) -> dict[str, Any]:
    record = phase.record
    services = sorted({sample.service for sample in record.samples})
    return {
        'title': phase.title,
        'latency': {
            service: summarise_latency(
                [sample for sample in record.samples if sample.service == service]
            )._asdict()
            for service in services
        },
        'imbalance': {
            service: compute_imbalance(record, service, record.started_at, record.ended_at)
            for service in services
        },
        'churn': {
            service: compute_churn(record, service)._asdict()
            for service in sorted(record.divided_services)
        },
        'unavailable': {
            service: compute_unavailability(record, service)._asdict()
            for service in sorted(record.divided_services)
        },
    }


if __name__ == '__main__':
    app()
