"""Results of each second while a data centre is taken out and brought back."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from coltsfootstair.load import Outcome, Sample, compute_latencies_ms

__all__ = ['RunTimes', 'TakeOutSecond', 'plot_seconds', 'print_table', 'summarise_seconds']


class RunTimes(NamedTuple):
    """Times of a run, in monotonic seconds.

    :param started_at: start of the load
    :param taken_out_at: when the daemon accepted taking the data centre out
    :param brought_back_at: when the daemon accepted bringing the data centre back
    :param ended_at: end of the load
    """

    started_at: float
    taken_out_at: float
    brought_back_at: float
    ended_at: float


class TakeOutSecond(NamedTuple):
    """The results of one second of a run.

    :param second: number of the second, 0 from the time when the data centre was taken out
    :param answered: requests other than uploads that were due in it and answered completely
    :param refused: requests other than uploads that were due in it and were refused
    :param failed: requests other than uploads that were due in it and failed otherwise
    :param p99_ms: 99th percentile of the latency of ``answered``, in milliseconds
    :param uploads_complete: uploads that ended in it with a complete answer
    :param uploads_incomplete: uploads that ended in it without a complete answer
    :param started_in_data_centre: requests that started in it at backend servers of the data
        centre that is taken out
    :param running_in_data_centre: requests that were running at these servers at its end
    """

    second: int
    answered: int
    refused: int
    failed: int
    p99_ms: float
    uploads_complete: int
    uploads_incomplete: int
    started_in_data_centre: int
    running_in_data_centre: int


def summarise_seconds(
    samples: Sequence[Sample],
    data_centre_requests: Iterable[dict[str, Any]],
    times: RunTimes,
    upload_service: str,
) -> list[TakeOutSecond]:
    """Summarise each second of a run.

    :param data_centre_requests: requests recorded by the backend servers of the data centre
        that is taken out
    """
    recorded_requests = list(data_centre_requests)
    first, last = (
        int(times.started_at - times.taken_out_at),
        int(times.ended_at - times.taken_out_at),
    )
    return [
        _summarise_second(
            second, times.taken_out_at + second, samples, recorded_requests, upload_service
        )
        for second in range(first, last)
    ]


def _summarise_second(
    second: int,
    start: float,
    samples: Sequence[Sample],
    recorded_requests: list[dict[str, Any]],
    upload_service: str,
) -> TakeOutSecond:
    other_requests = [sample for sample in samples if sample.service != upload_service]
    due = [sample for sample in other_requests if start <= sample.due_at < start + 1]
    ended_uploads = [
        sample
        for sample in samples
        if sample.service == upload_service and start <= sample.ended_at < start + 1
    ]
    outcomes = Counter(sample.outcome for sample in due)
    uploads_complete = sum(sample.outcome is Outcome.COMPLETE for sample in ended_uploads)
    started_in_data_centre = sum(
        start <= request['start'] < start + 1 for request in recorded_requests
    )
    running_in_data_centre = sum(
        request['start'] < start + 1
        and (request['end'] is None or request['end'] >= start + 1)
        for request in recorded_requests
    )
    return TakeOutSecond(
        second,
        outcomes[Outcome.COMPLETE],
        outcomes[Outcome.REFUSED],
        len(due) - outcomes[Outcome.COMPLETE] - outcomes[Outcome.REFUSED],
        compute_latencies_ms(due, 99)[0],
        uploads_complete,
        len(ended_uploads) - uploads_complete,
        started_in_data_centre,
        running_in_data_centre,
    )


def print_table(seconds: Iterable[TakeOutSecond], brought_back_after_s: float) -> None:
    """Print one line for each second.

    :param brought_back_after_s: seconds from taking the data centre out to bringing it back
    """
    print(
        'second 0: the data centre was taken out; '
        f'second {brought_back_after_s:.1f}: it was brought back'
    )
    print(
        'second answered refused failed  p99 ms  uploads complete incomplete'
        '  started in it running in it'
    )
    for row in seconds:
        print(
            f'{row.second:6} {row.answered:8} {row.refused:7} {row.failed:6} {row.p99_ms:7.1f}'
            f' {row.uploads_complete:17} {row.uploads_incomplete:10}'
            f' {row.started_in_data_centre:14} {row.running_in_data_centre:13}'
        )


def plot_seconds(
    seconds: Sequence[TakeOutSecond], brought_back_after_s: float, path: Path
) -> None:
    """Write the results of the seconds to a PNG file as curves over time."""
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, (upper, middle, lower) = pyplot.subplots(3, sharex=True, figsize=(9, 8))
    numbers = [row.second for row in seconds]
    upper.plot(numbers, [row.answered for row in seconds], label='answered a second')
    upper.plot(numbers, [row.refused for row in seconds], label='refused a second')
    middle.plot(numbers, [row.p99_ms for row in seconds], label='99th percentile, ms')
    lower.plot(
        numbers,
        [row.started_in_data_centre for row in seconds],
        label='started in the data centre',
    )
    lower.plot(
        numbers,
        [row.running_in_data_centre for row in seconds],
        label='running in the data centre',
    )
    for axes in (upper, middle, lower):
        axes.axvline(0, color='grey', linestyle=':')
        axes.axvline(brought_back_after_s, color='grey', linestyle=':')
        axes.legend(loc='upper right')
    lower.set_xlabel('seconds since the data centre was taken out')
    figure.tight_layout()
    figure.savefig(path)


def read_monotonic_s() -> float:
    """Return the machine's monotonic seconds, the clock that the stand-ins report with."""
    return time.monotonic()
