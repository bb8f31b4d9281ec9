"""The command: ``python -m soak --seed N --minutes M --size DAEMONS``."""

from __future__ import annotations

import sys
from pathlib import Path

import cyclopts

from soak._faults import FAULT_KINDS
from soak._run import RunOptions, RunResult, run_soak
from soak._variants import PROMISE_BY_VARIANT

EXIT_OK = 0
EXIT_VIOLATION = 1
EXIT_BAD_INPUT = 2

MAX_DAEMON_COUNT = 100
MAX_RUN_DURATION_S = 30.0
"""How long faults are injected with one seed; a longer soak continues with the next seeds."""

app = cyclopts.App(name='soak', help='Inject faults drawn from a seed into real daemons.')


@app.default
def soak(
    *,
    seed: int = 1,
    minutes: float = 0.5,
    size: int = 4,
    variant: str = '',
    only: str = '',
    logs: Path | None = None,
) -> int:
    """Run one seed after the other until the requested time is used up.

    :param seed: the first seed
    :param minutes: how long faults are injected, in total over all seeds
    :param size: number of daemons
    :param variant: run this deliberately broken daemon instead; the soak succeeds as soon as
        the promise that the variant breaks is reported as broken
    :param only: names of the only faults to inject, such as ``OddObjects,repeats refusals``,
        separated by commas
    :param logs: folder for the faults, the violations and the daemons' logs of runs with
        violations
    """
    if variant and variant not in PROMISE_BY_VARIANT:
        allowed = ', '.join(sorted(PROMISE_BY_VARIANT))
        print(f'--variant {variant!r}: must be one of {allowed}', file=sys.stderr)
        return EXIT_BAD_INPUT
    if not 0 < size <= MAX_DAEMON_COUNT or minutes <= 0:
        print(
            f'--size: must be 1 to {MAX_DAEMON_COUNT}; --minutes: must be above 0',
            file=sys.stderr,
        )
        return EXIT_BAD_INPUT
    kinds = tuple(filter(None, only.split(',')))
    if unknown := set(kinds) - FAULT_KINDS:
        allowed = ', '.join(sorted(FAULT_KINDS))
        print(f'--only {sorted(unknown)}: must be some of {allowed}', file=sys.stderr)
        return EXIT_BAD_INPUT
    remaining_s = minutes * 60
    has_violations = False
    while remaining_s > 0:
        options = RunOptions(seed, min(MAX_RUN_DURATION_S, remaining_s), size, variant, kinds)
        result = run_soak(options)
        print(_format_summary(options, result), flush=True)
        if result.violations and logs is not None:
            _write_logs(logs, options, result)
        if variant:
            broken_promises = {violation.promise for violation in result.violations}
            if PROMISE_BY_VARIANT[variant] in broken_promises:
                print(f'{variant}: caught with seed {seed}')
                return EXIT_OK
        has_violations = has_violations or bool(result.violations)
        remaining_s -= MAX_RUN_DURATION_S
        seed += 1
    if variant:
        print(f'{variant}: not caught')
        return EXIT_VIOLATION
    return EXIT_VIOLATION if has_violations else EXIT_OK


def _format_summary(options: RunOptions, result: RunResult) -> str:
    statuses = ' '.join(f'{status}:{count}' for status, count in result.statuses.most_common())
    lines = [
        (
            f'seed {options.seed}: {result.sent_count} requests, '
            f'{result.served_count} served, '
            f'{len(result.faults)} faults, {len(result.violations)} violations '
            f'(requests by status: {statuses})'
        )
    ]
    # Violations beyond the eighth are counted above, but not listed.
    lines += [
        f'  {violation.promise.value}: {violation.detail}'
        for violation in result.violations[:8]
    ]
    return '\n'.join(lines)


def _write_logs(folder: Path, options: RunOptions, result: RunResult) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for name, lines in result.log_lines_by_daemon.items():
        (folder / f'seed-{options.seed}-{name}.log').write_text('\n'.join(lines))
    faults = '\n'.join(f'{at:.2f} {fault}' for at, fault in result.faults)
    (folder / f'seed-{options.seed}-faults.txt').write_text(faults)
    violations = '\n'.join(
        f'{violation.at:.2f} {violation.promise.value}: {violation.detail}'
        for violation in result.violations
    )
    (folder / f'seed-{options.seed}-violations.txt').write_text(violations)


if __name__ == '__main__':
    sys.exit(app())
