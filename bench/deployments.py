"""Measures both deployments at the sizes of the brief, on stand-ins.

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

from bench._phases import Measured, Phase, measure
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
EXIT_BROKEN = 1

app = cyclopts.App(help='Measure both deployments of the brief on stand-ins.')


@app.default
def deployments(
    *,
    deployment: Literal['lakeshore', 'tesfaye', 'both'] = 'both',
    seconds: float = 30.0,
    seed: int = 1,
    json_file: Annotated[Path | None, Parameter(name='--json')] = None,
    plot: Path | None = None,
) -> int:
    """Measure, print tables, and exit with 1 if a promise was broken.

    :param seconds: length of each of the four phases
    :param json_file: file that takes the figures
    :param plot: PNG file that takes the service second by second
    """
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    chosen = list(DEPLOYMENTS) if deployment == 'both' else [deployment]
    results = []
    for name in chosen:
        measured = measure(DEPLOYMENTS[name], seconds, seed)
        print(_report(measured, DEPLOYMENTS[name]), flush=True)
        results.append(measured)
    if json_file is not None:
        json_file.write_text(json.dumps([_figures(each) for each in results], indent=1) + '\n')
    if plot is not None:
        from bench._plot import draw

        draw({each.deployment: each.leaving.observed for each in results}, plot)
    kept = all(verdict.is_kept for each in results for verdict in each.verdicts)
    return 0 if kept else EXIT_BROKEN


def _report(measured: Measured, deployment: Deployment) -> str:
    plan = deployment.plan
    parts = [
        (
            f'{measured.deployment}: {len(plan.daemons)} daemons, {len(plan.servers)} backend '
            f'servers, Python {platform.python_version()}\n'
        )
    ]
    for phase in (measured.calm, measured.leaving, measured.lost):
        parts += [f'== {phase.title}', render_ownership_table(phase.observed)]
    parts += [
        f'== {measured.leaving.title}',
        render_per_second_tables(measured.leaving.observed),
    ]
    for phase in (measured.calm, measured.slowed, measured.leaving, measured.lost):
        parts += [f'== {phase.title}', render_latency_table(phase.observed)]
    calls = measured.store_calls_per_s
    heads = ('kind', 'calls a second')
    rows = [(kind, f'{rate:.1f}') for kind, rate in calls.items()]
    parts += [render_table('Store calls of all daemons, nothing changing', heads, rows)]
    parts += [render_verdict_table(measured.verdicts)]
    return '\n'.join(parts)


def _figures(measured: Measured) -> dict[str, Any]:
    phases = (measured.calm, measured.slowed, measured.leaving, measured.lost)
    return {
        'deployment': measured.deployment,
        'phases': [_phase_figures(phase) for phase in phases],
        'store_calls_per_s': measured.store_calls_per_s,
        'promises': {
            v.promise: {'cases': v.case_count, 'faults': v.violations}
            for v in measured.verdicts
        },
    }


def _phase_figures(phase: Phase) -> dict[str, Any]:
    observed = phase.observed
    services = sorted({sample.service for sample in observed.samples})
    return {
        'title': phase.title,
        'latency': {
            service: summarise_latency(
                [s for s in observed.samples if s.service == service]
            )._asdict()
            for service in services
        },
        'imbalance': {
            service: compute_imbalance(
                observed, service, observed.started_at, observed.ended_at
            )
            for service in services
        },
        'churn': {
            s: compute_churn(observed, s)._asdict() for s in sorted(observed.divided_services)
        },
        'unavailable': {
            s: compute_unavailability(observed, s)._asdict()
            for s in sorted(observed.divided_services)
        },
    }


if __name__ == '__main__':
    app()
