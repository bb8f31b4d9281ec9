"""Commands that run a stand-in of the platform until it is terminated."""

from __future__ import annotations

import signal
import threading
from typing import TYPE_CHECKING

import cyclopts
import structlog

from coltsfootstair.cli._app import app
from coltsfootstair.cli._failures import exit_on_errors
from coltsfootstair.errors import BadInputError
from coltsfootstair.logs import configure

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootstair.standin import BackendServerStandin, StoreStandin

__all__ = ['standin']

logger = structlog.get_logger()

standin = cyclopts.App(name='standin', help='Run a stand-in of the platform.')
app.command(standin)


@standin.command
def store(*, listen: str, vm_lag: float = 5.0) -> None:
    """Run a stand-in of the platform's store and VM list.

    :param listen: IP:PORT to listen on; port 0 selects a free port
    :param vm_lag: seconds for which the VM list still shows a VM that has ended
    """

    def make_standin() -> StoreStandin:
        from coltsfootstair.standin import StoreStandin

        _check_number('--vm-lag', vm_lag, minimum=0)
        return StoreStandin(listen, vm_lag_s=vm_lag)

    _run_standin(make_standin, 'store')


@standin.command(name='backend-server')
def backend_server(
    *,
    listen: str,
    name: str,
    data_centre: str,
    slots: int = 4,
    connections: int = 110,
    service_ms: float = 5.0,
    fencing: bool = True,
) -> None:
    """Run a stand-in of a backend server.

    :param listen: IP:PORT to listen on; port 0 selects a free port
    :param name: name of the backend server
    :param data_centre: name of its data centre
    :param slots: number of requests it works on at once
    :param connections: number of connections it accepts at once
    :param service_ms: milliseconds that it works on a request
    :param fencing: refuse requests with a fencing token that is not granted
    """

    def make_standin() -> BackendServerStandin:
        from coltsfootstair.standin import BackendServerStandin

        _check_number('--slots', slots, minimum=1)
        _check_number('--connections', connections, minimum=1)
        _check_number('--service-ms', service_ms, minimum=0)
        return BackendServerStandin(
            listen,
            name,
            data_centre,
            slots=slots,
            connections=connections,
            service_ms=service_ms,
            checks_grants=fencing,
        )

    _run_standin(make_standin, name)


def _check_number(option: str, value: float, *, minimum: int) -> None:
    if not value >= minimum or value == float('inf'):
        raise BadInputError(
            'command line',
            option,
            f'{value} is not allowed; must be a finite number from {minimum}',
        )


def _run_standin(
    make_standin: Callable[[], StoreStandin | BackendServerStandin], name: str
) -> None:
    configure(name=name)
    stop_requested = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop_requested.set())
    with exit_on_errors():
        server = make_standin()
    server.start()
    logger.info('ready', address=server.address)
    stop_requested.wait()
    server.stop()
    logger.info('stopped')
