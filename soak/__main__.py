"""The command: ``python -m soak --seed N --minutes M --size DAEMONS``."""

from __future__ import annotations

import sys
from pathlib import Path

import cyclopts

from soak._run import Outcome, Plan, play
from soak._variants import PROMISE_BY_VARIANT

EXIT_DONE = 0
EXIT_BROKEN = 1
EXIT_BAD_INPUT = 2

MOST_DAEMONS = 100
SECONDS_A_RUN = 30.0
"""How long faults strike with one seed, in seconds; longer soaks play further seeds."""

app = cyclopts.App(name='soak', help='Plays faults drawn from a seed against real daemons.')


@app.default
def soak(
    *,
    seed: int = 1,
    minutes: float = 0.5,
    size: int = 4,
    variant: str = '',
    logs: Path | None = None,
) -> int:
    """Play one seed after the other until the time is over.

    :param seed: the first seed
    :param minutes: how long faults strike, over all seeds
    :param size: number of daemons
    :param variant: a daemon broken on purpose; done if its promise is seen broken
    :param logs: a folder for the daemons' logs of runs that break a promise
    """
    if variant and variant not in PROMISE_BY_VARIANT:
        allowed = ', '.join(sorted(PROMISE_BY_VARIANT))
        print(f'--variant {variant!r}: must be one of {allowed}', file=sys.stderr)
        return EXIT_BAD_INPUT
    if not 0 < size <= MOST_DAEMONS or minutes <= 0:
        print(f'--size: must be 1 to {MOST_DAEMONS}; --minutes: above 0', file=sys.stderr)
        return EXIT_BAD_INPUT
    left_s = minutes * 60
    broken = False
    while left_s > 0:
        plan = Plan(seed, min(SECONDS_A_RUN, left_s), size, variant)
        outcome = play(plan)
        print(_summary(plan, outcome), flush=True)
        if outcome.violations and logs is not None:
            _keep_logs(logs, plan, outcome)
        if variant:
            seen = {violation.promise for violation in outcome.violations}
            if PROMISE_BY_VARIANT[variant] in seen:
                print(f'{variant}: caught with seed {seed}')
                return EXIT_DONE
        broken = broken or bool(outcome.violations)
        left_s -= SECONDS_A_RUN
        seed += 1
    if variant:
        print(f'{variant}: not caught')
        return EXIT_BROKEN
    return EXIT_BROKEN if broken else EXIT_DONE


def _summary(plan: Plan, outcome: Outcome) -> str:
    statuses = ' '.join(
        f'{status}:{count}' for status, count in outcome.statuses.most_common()
    )
    lines = [
        (
            f'seed {plan.seed}: {outcome.sent} requests, {outcome.answered} served, '
            f'{len(outcome.faults)} faults, {len(outcome.violations)} broken ({statuses})'
        )
    ]
    lines += [
        f'  {violation.promise.value}: {violation.detail}'
        for violation in outcome.violations[:8]
    ]
    return '\n'.join(lines)


def _keep_logs(folder: Path, plan: Plan, outcome: Outcome) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for name, lines in outcome.logs.items():
        (folder / f'seed-{plan.seed}-{name}.log').write_text('\n'.join(lines))
    faults = '\n'.join(f'{at:.2f} {fault}' for at, fault in outcome.faults)
    (folder / f'seed-{plan.seed}-faults.txt').write_text(faults)


if __name__ == '__main__':
    sys.exit(app())
