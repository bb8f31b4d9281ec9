"""Measures the operators' changes over processes: ``python -m bench.operators``.

Nine daemons in four data centres serve three kinds of services. It prints how long a
change takes from its acceptance until it is in force at the last daemon, what the store
is asked meanwhile, and what callers see while a data centre leaves and returns.
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

from bench._leaving import Moments, now, plot, print_table, seconds_of
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
DAEMONS = {f'd{number}': DATA_CENTRES[number % 4] for number in range(9)}
SERVICES = [
    ('lookups', True, 'lookup'),
    ('bookings', True, 'booking'),
    ('scans', False, 'upload'),
]
SERVERS = [
    (f'{service}-{place}', service, place)
    for service, _, _ in SERVICES
    for place in DATA_CENTRES
]
LOADS: list[Load] = [
    LookupLoad('lookups', 60.0),
    BookingLoad('bookings', 20.0),
    UploadLoad('scans', 8, 1_200_000, 200_000.0),
]
LEAVING = 'dc2'
MAX_SLOTS = 4
CHANGES = 20
QUIET_S = 30.0
BEFORE_S, OUT_S, AFTER_S = 8.0, 15.0, 15.0
SEED = 1

_PAUSE = threading.Event()


class Bench:
    """A running system of nine daemons."""

    def __init__(self, system: System) -> None:
        self._system = system

    def start(self) -> None:
        """Start all processes, and put the document in force."""
        self._system.start_store()
        for name, _, place in SERVERS:
            self._system.start_backend_server(name, place)
        for name, place in DAEMONS.items():
            self._system.start_daemon(name, place)
        self._system.wait_ready()
        self._system.apply_document('d0', self._text(MAX_SLOTS))
        wait_until(lambda: len(self._in_force()) == len(DAEMONS), 'in force everywhere')
        requests = [('/lookups/x', 'k'), ('/bookings/x', 'k'), ('/scans/x', '')]
        self._system.wait_served(list(DAEMONS), requests)

    def measure_changes(self) -> None:
        """Print how long changes take to be in force at the last daemon."""
        taken: list[float] = []
        for number in range(CHANGES):
            self._system.apply_document(
                f'd{number % len(DAEMONS)}', self._text(MAX_SLOTS - 1 + number % 2)
            )
            wait_until(lambda: len(self._in_force()) == len(DAEMONS), 'in force everywhere')
            taken.append(self._last_change_ms())
        median, worst = statistics.median(taken), max(taken)
        print(
            f'in force at the last of {len(DAEMONS)} daemons after acceptance, '
            f'{CHANGES} changes: median {median:.0f} ms, longest {worst:.0f} ms'
        )

    def measure_store_calls(self) -> None:
        """Print what the store is asked while nothing happens."""
        before = self._system.read_truth('store')
        _PAUSE.wait(QUIET_S)
        after = self._system.read_truth('store')
        per_minute = {
            kind: (after[kind] - before[kind]) / len(DAEMONS) * 60 / QUIET_S for kind in after
        }
        text = ', '.join(f'{kind} {value:.1f}' for kind, value in per_minute.items())
        print(f'store calls per daemon per minute over {QUIET_S:.0f} quiet seconds: {text}')

    def measure_leaving(self, path: Path | None) -> bool:
        """Print what callers see while a data centre leaves; true if all promises held."""
        addresses = [self._system.get_callers_address(name) for name in DAEMONS]
        seconds = BEFORE_S + OUT_S + AFTER_S
        generator = LoadGenerator(lambda: addresses, LOADS, seconds, SEED, SystemClock())
        began = now()
        generator.start()
        _PAUSE.wait(BEFORE_S)
        self._change('take-out')
        out = now()
        _PAUSE.wait(OUT_S)
        self._change('bring-back')
        back = now()
        samples = generator.join()
        moments = Moments(began, out, back, now())
        there = [
            request
            for name, _, place in SERVERS
            if place == LEAVING
            for request in self._system.read_truth(name)['requests']
        ]
        table = seconds_of(samples, there, moments, 'scans')
        print_table(table, back - out)
        if path is not None:
            plot(table, back - out, path)
        return self._judge(samples, there, moments)

    def _judge(
        self, samples: list[Sample], there: list[dict[str, Any]], moments: Moments
    ) -> bool:
        begun = [one['start'] - moments.out for one in there]
        late = [at for at in begun if 3.0 < at < moments.back - moments.out - 1.0]
        last = max((at for at in begun if at < OUT_S / 2), default=0.0)
        broken = [one for one in samples if one.service == 'scans' and one.result != 0]
        most = max(self._system.read_truth(name)['max_in_flight'] for name, _, _ in SERVERS)
        refused = Counter((one.service, one.result) for one in samples if one.result > 0)
        for (service, code), count in sorted(refused.items()):
            print(f'{service} refused with result {code}: {count}')
        print(f'last new work in {LEAVING}: {last:.2f} s after the take-out was accepted')
        print(f'new work there later than 3 s: {len(late)}')
        print(f'uploads not answered whole: {len(broken)}: {[one.result for one in broken]}')
        print(f'most requests at once in one backend server of {MAX_SLOTS} slots: {most}')
        return not late and not broken and most <= MAX_SLOTS

    def _change(self, word: str) -> None:
        self._system.run_command(
            'data-centre',
            word,
            LEAVING,
            '--force',
            '--daemon',
            self._system.get_operators_address('d0'),
        )

    def _in_force(self) -> set[str]:
        """Return the daemons that have the newest version in force."""
        report = self._report('status')
        newest = self._newest()
        return {one['name'] for one in report['daemons'] if one['version'] == newest}

    def _newest(self) -> int:
        text = self._system.run_command(
            'config', 'show', '--daemon', self._system.get_operators_address('d0')
        )
        return int(text.split()[2])

    def _last_change_ms(self) -> float:
        version = self._newest()
        stamps = {
            name: [
                HybridTime.unpack(one['stamp']).wall_ms
                for one in self._report('timeline')
                if one['event'] == name and one['fields']['version'] == version
            ]
            for name in ('document accepted', 'document in force')
        }
        return max(stamps['document in force']) - min(stamps['document accepted'])

    def _report(self, command: str) -> Any:
        address = self._system.get_operators_address('d0')
        return json.loads(self._system.run_command(command, '--json', '--daemon', address))

    def _text(self, slots: int) -> str:
        servers = [
            (name, service, place, self._system.address_by_backend_server[name])
            for name, service, place in SERVERS
        ]
        return build_document_text(DATA_CENTRES, SERVICES, servers, slots=slots)


def main() -> int:
    """Run the measurements."""
    parser = argparse.ArgumentParser(prog='bench.operators', description=__doc__)
    parser.add_argument('--plot', type=Path, help='draw what callers see into this PNG file')
    arguments = parser.parse_args()
    with System() as system:
        bench = Bench(system)
        bench.start()
        bench.measure_store_calls()
        bench.measure_changes()
        return 0 if bench.measure_leaving(arguments.plot) else 1


if __name__ == '__main__':
    raise SystemExit(main())
