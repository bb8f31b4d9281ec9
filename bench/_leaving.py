"""What callers see, second by second, while a data centre leaves and returns."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from coltsfootstair.load import Outcome, Sample, compute_latencies_ms

__all__ = ['Moments', 'Second', 'plot', 'print_table', 'seconds_of']


class Moments(NamedTuple):
    """Monotonic seconds at which the run began, and the operators' changes were accepted."""

    began: float
    out: float
    back: float
    ended: float


class Second(NamedTuple):
    """One second of the run.

    :param second: seconds since the data centre was taken out
    :param p99_ms: of the answered lookups that were due in it
    :param begun_there: requests that began in the data centre that leaves
    :param running_there: requests that ran there at its end
    """

    second: int
    answered: int
    refused: int
    failed: int
    p99_ms: float
    uploads_whole: int
    uploads_broken: int
    begun_there: int
    running_there: int


def seconds_of(
    samples: Sequence[Sample],
    requests_there: Iterable[dict[str, Any]],
    moments: Moments,
    uploads: str,
) -> list[Second]:
    """Sort what callers and backend servers saw into seconds."""
    there = list(requests_there)
    first, last = int(moments.began - moments.out), int(moments.ended - moments.out)
    return [
        _second(number, moments.out + number, samples, there, uploads)
        for number in range(first, last)
    ]


def _second(
    number: int,
    start: float,
    samples: Sequence[Sample],
    there: list[dict[str, Any]],
    uploads: str,
) -> Second:
    short = [one for one in samples if one.service != uploads]
    due = [one for one in short if start <= one.due_at < start + 1]
    ended = [
        one for one in samples if one.service == uploads and start <= one.ended_at < start + 1
    ]
    outcomes = Counter(one.outcome for one in due)
    whole = sum(one.outcome is Outcome.COMPLETE for one in ended)
    begun = sum(start <= one['start'] < start + 1 for one in there)
    running = sum(
        one['start'] < start + 1 and (one['end'] is None or one['end'] >= start + 1)
        for one in there
    )
    return Second(
        number,
        outcomes[Outcome.COMPLETE],
        outcomes[Outcome.REFUSED],
        len(due) - outcomes[Outcome.COMPLETE] - outcomes[Outcome.REFUSED],
        compute_latencies_ms(due, 99)[0],
        whole,
        len(ended) - whole,
        begun,
        running,
    )


def print_table(seconds: Iterable[Second], back_after_s: float) -> None:
    """Print one line for each second."""
    print(f'second 0: taken out; second {back_after_s:.1f}: brought back')
    print('second answered refused failed  p99 ms  uploads ended broken  begun there running')
    for one in seconds:
        print(
            f'{one.second:6} {one.answered:8} {one.refused:7} {one.failed:6} {one.p99_ms:7.1f}'
            f' {one.uploads_whole:14} {one.uploads_broken:6}'
            f' {one.begun_there:12} {one.running_there:7}'
        )


def plot(seconds: Sequence[Second], back_after_s: float, path: Path) -> None:
    """Draw the table."""
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, (upper, middle, lower) = pyplot.subplots(3, sharex=True, figsize=(9, 8))
    at = [one.second for one in seconds]
    upper.plot(at, [one.answered for one in seconds], label='answered a second')
    upper.plot(at, [one.refused for one in seconds], label='refused a second')
    middle.plot(at, [one.p99_ms for one in seconds], label='99th percentile, ms')
    lower.plot(at, [one.begun_there for one in seconds], label='begun in the data centre')
    lower.plot(at, [one.running_there for one in seconds], label='running there')
    for axes in (upper, middle, lower):
        axes.axvline(0, color='grey', linestyle=':')
        axes.axvline(back_after_s, color='grey', linestyle=':')
        axes.legend(loc='upper right')
    lower.set_xlabel('seconds since the data centre was taken out')
    figure.tight_layout()
    figure.savefig(path)


def now() -> float:
    """Return the machine's monotonic seconds, which stand-ins report in too."""
    return time.monotonic()
