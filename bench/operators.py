"""Measures operators' changes on separate processes: ``python -m bench.operators``.

Nine daemons in four data centres serve three kinds of services. The benchmark prints how
many calls the idle daemons make to the store, how long a change takes from its acceptance
until it is in force at the last daemon, and what callers see while a data centre is taken
out and brought back.
"""

from __future__ import annotations

import argparse
import json
import statistics
import threading
from collections import Counter
from pathlib import Path
from typing import Any

from tests.scenarios.processes import System, build_document_text, wait_until

from bench._leaving import (
    RunTimes,
    plot_seconds,
    print_table,
    read_monotonic_s,
    summarise_seconds,
)
from coltsfootstair.clock import SystemClock
from coltsfootstair.load import (
    BookingLoad,
    Load,
    LoadGenerator,
    LookupLoad,
    Sample,
    UploadLoad,
)
from coltsfootstair.timeline import HybridTime

DATA_CENTRES = ['dc1', 'dc2', 'dc3', 'dc4']
DATA_CENTRE_BY_DAEMON = {f'd{number}': DATA_CENTRES[number % 4] for number in range(9)}
SERVICES = [
    ('lookups', True, 'lookup'),
    ('bookings', True, 'booking'),
    ('scans', False, 'upload'),
]
SERVERS = [
    (f'{service}-{data_centre}', service, data_centre)
    for service, _, _ in SERVICES
    for data_centre in DATA_CENTRES
]
LOADS: list[Load] = [
    LookupLoad('lookups', 60.0),
    BookingLoad('bookings', 20.0),
    UploadLoad('scans', 8, 1_200_000, 200_000.0),
]
TAKEN_OUT_DATA_CENTRE = 'dc2'
SLOT_COUNT = 4
CHANGE_COUNT = 20
IDLE_WINDOW_S = 30.0
BEFORE_TAKE_OUT_S, TAKEN_OUT_S, AFTER_BRING_BACK_S = 8.0, 15.0, 15.0
SEED = 1

_PAUSE = threading.Event()
"""Never set: only waited for, to sleep."""


class OperatorsBench:
    """Measurements on a running system of nine daemons."""

    def __init__(self, system: System) -> None:
        self._system = system

    def start(self) -> None:
        """Start all processes and wait until the document is in force at every daemon."""
        self._system.start_store()
        for name, _, data_centre in SERVERS:
            self._system.start_backend_server(name, data_centre)
        for name, data_centre in DATA_CENTRE_BY_DAEMON.items():
            self._system.start_daemon(name, data_centre)
        self._system.wait_ready()
        self._system.apply_document('d0', self._make_document(SLOT_COUNT))
        wait_until(
            lambda: len(self._find_up_to_date_daemons()) == len(DATA_CENTRE_BY_DAEMON),
            'the document is in force at every daemon',
        )
        requests = [('/lookups/x', 'k'), ('/bookings/x', 'k'), ('/scans/x', '')]
        self._system.wait_until_served(list(DATA_CENTRE_BY_DAEMON), requests)

    def measure_changes(self) -> None:
        """Print how long changes take until they are in force at the last daemon."""
        durations_ms: list[float] = []
        for number in range(CHANGE_COUNT):
            self._system.apply_document(
                f'd{number % len(DATA_CENTRE_BY_DAEMON)}',
                self._make_document(SLOT_COUNT - 1 + number % 2),
            )
            wait_until(
                lambda: len(self._find_up_to_date_daemons()) == len(DATA_CENTRE_BY_DAEMON),
                'the document is in force at every daemon',
            )
            durations_ms.append(self._compute_last_change_duration_ms())
        median, longest = statistics.median(durations_ms), max(durations_ms)
        print(
            f'in force at the last of {len(DATA_CENTRE_BY_DAEMON)} daemons after acceptance, '
            f'{CHANGE_COUNT} changes: median {median:.0f} ms, longest {longest:.0f} ms'
        )

    def measure_store_calls(self) -> None:
        """Print how often each idle daemon calls the store."""
        calls_before = self._system.read_truth('store')
        _PAUSE.wait(IDLE_WINDOW_S)
        calls_after = self._system.read_truth('store')
        per_minute = {
            kind: (calls_after[kind] - calls_before[kind])
            / len(DATA_CENTRE_BY_DAEMON)
            * 60
            / IDLE_WINDOW_S
            for kind in calls_after
        }
        text = ', '.join(f'{kind} {value:.1f}' for kind, value in per_minute.items())
        print(
            f'store calls per daemon per minute over {IDLE_WINDOW_S:.0f} '
            f'seconds without requests and changes: {text}'
        )

    def measure_take_out(self, path: Path | None) -> bool:
        """Print what callers see while a data centre is taken out and brought back.

        :param path: PNG file for curves of the results
        :return: whether all promises were kept
        """
        addresses = [self._system.get_callers_address(name) for name in DATA_CENTRE_BY_DAEMON]
        duration_s = BEFORE_TAKE_OUT_S + TAKEN_OUT_S + AFTER_BRING_BACK_S
        generator = LoadGenerator(lambda: addresses, LOADS, duration_s, SEED, SystemClock())
        started_at = read_monotonic_s()
        generator.start()
        _PAUSE.wait(BEFORE_TAKE_OUT_S)
        self._change_data_centre('take-out')
        taken_out_at = read_monotonic_s()
        _PAUSE.wait(TAKEN_OUT_S)
        self._change_data_centre('bring-back')
        brought_back_at = read_monotonic_s()
        samples = generator.join()
        times = RunTimes(started_at, taken_out_at, brought_back_at, read_monotonic_s())
        data_centre_requests = [
            request
            for name, _, data_centre in SERVERS
            if data_centre == TAKEN_OUT_DATA_CENTRE
            for request in self._system.read_truth(name)['requests']
        ]
        seconds_table = summarise_seconds(samples, data_centre_requests, times, 'scans')
        print_table(seconds_table, brought_back_at - taken_out_at)
        if path is not None:
            plot_seconds(seconds_table, brought_back_at - taken_out_at, path)
        return self._check_promises(samples, data_centre_requests, times)

    def _check_promises(
        self,
        samples: list[Sample],
        data_centre_requests: list[dict[str, Any]],
        times: RunTimes,
    ) -> bool:
        start_offsets_s = [
            request['start'] - times.taken_out_at for request in data_centre_requests
        ]
        late_offsets_s = [
            offset_s
            for offset_s in start_offsets_s
            # Later than 3 s; requests of the last second may belong to the time after the
            # data centre was brought back.
            if 3.0 < offset_s < times.brought_back_at - times.taken_out_at - 1.0
        ]
        # Half the time excludes the requests after the data centre was brought back.
        last_offset_s = max(
            (offset_s for offset_s in start_offsets_s if offset_s < TAKEN_OUT_S / 2),
            default=0.0,
        )
        incomplete_uploads = [
            sample for sample in samples if sample.service == 'scans' and sample.result != 0
        ]
        max_in_flight = max(
            self._system.read_truth(name)['max_in_flight'] for name, _, _ in SERVERS
        )
        refusal_counts = Counter(
            (sample.service, sample.result) for sample in samples if sample.result > 0
        )
        for (service, code), count in sorted(refusal_counts.items()):
            print(f'{service} refused with result {code}: {count}')
        print(
            f'last new work in {TAKEN_OUT_DATA_CENTRE}: {last_offset_s:.2f} s '
            'after the take-out was accepted'
        )
        print(f'new work there later than 3 s after it: {len(late_offsets_s)}')
        print(
            f'uploads not answered completely: {len(incomplete_uploads)}: '
            f'{[sample.result for sample in incomplete_uploads]}'
        )
        print(
            f'most requests at once in one backend server of {SLOT_COUNT} slots: '
            f'{max_in_flight}'
        )
        return not late_offsets_s and not incomplete_uploads and max_in_flight <= SLOT_COUNT

    def _change_data_centre(self, command: str) -> None:
        self._system.run_command(
            'data-centre',
            command,
            TAKEN_OUT_DATA_CENTRE,
            '--force',
            '--daemon',
            self._system.get_operators_address('d0'),
        )

    def _find_up_to_date_daemons(self) -> set[str]:
        """Return the daemons in which the newest version of the document is in force."""
        status = self._read_report('status')
        newest_version = self._read_newest_version()
        return {
            entry['name'] for entry in status['daemons'] if entry['version'] == newest_version
        }

    def _read_newest_version(self) -> int:
        text = self._system.run_command(
            'config', 'show', '--daemon', self._system.get_operators_address('d0')
        )
        # The text begins with ``# version`` and the number.
        return int(text.split()[2])

    def _compute_last_change_duration_ms(self) -> float:
        version = self._read_newest_version()
        times_ms = {
            name: [
                HybridTime.unpack(entry['stamp']).wall_ms
                for entry in self._read_report('timeline')
                if entry['event'] == name and entry['fields']['version'] == version
            ]
            for name in ('document accepted', 'document in force')
        }
        return max(times_ms['document in force']) - min(times_ms['document accepted'])

    def _read_report(self, command: str) -> Any:
        address = self._system.get_operators_address('d0')
        return json.loads(self._system.run_command(command, '--json', '--daemon', address))

    def _make_document(self, slots: int) -> str:
        servers = [
            (name, service, data_centre, self._system.address_by_backend_server[name])
            for name, service, data_centre in SERVERS
        ]
        return build_document_text(DATA_CENTRES, SERVICES, servers, slots=slots)


def main() -> int:
    """Run the measurements."""
    parser = argparse.ArgumentParser(prog='bench.operators', description=__doc__)
    parser.add_argument('--plot', type=Path, help='PNG file for curves of what callers see')
    arguments = parser.parse_args()
    with System() as system:
        operators_bench = OperatorsBench(system)
        operators_bench.start()
        operators_bench.measure_store_calls()
        operators_bench.measure_changes()
        return 0 if operators_bench.measure_take_out(arguments.plot) else 1


if __name__ == '__main__':
    raise SystemExit(main())
