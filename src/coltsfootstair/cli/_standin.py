"""Commands that run a stand-in of the platform until it is ended."""

from __future__ import annotations

import signal
import threading
from typing import TYPE_CHECKING

import cyclopts
import structlog

from coltsfootstair.cli._app import app
from coltsfootstair.cli._failures import reported_errors
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
    """Run the platform's store and VM list.

    :param listen: IP:PORT to listen on; port 0 takes a free one
    :param vm_lag: seconds for which the list still shows a VM that is gone
    """

    def make() -> StoreStandin:
        from coltsfootstair.standin import StoreStandin

        _check('--vm-lag', vm_lag, least=0)
        return StoreStandin(listen, vm_lag_s=vm_lag)

    _run(make, 'store')


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
    """Run one backend server.

    :param listen: IP:PORT to listen on; port 0 takes a free one
    :param name: the backend server's name
    :param data_centre: the data centre it is in
    :param slots: requests it works on at once
    :param connections: connections it accepts
    :param service_ms: milliseconds that a request takes
    :param fencing: refuse requests whose token is not granted
    """

    def make() -> BackendServerStandin:
        from coltsfootstair.standin import BackendServerStandin

        _check('--slots', slots, least=1)
        _check('--connections', connections, least=1)
        _check('--service-ms', service_ms, least=0)
        return BackendServerStandin(
            listen,
            name,
            data_centre,
            slots=slots,
            connections=connections,
            service_ms=service_ms,
            fencing=fencing,
        )

    _run(make, name)


def _check(option: str, value: float, *, least: int) -> None:
    if not value >= least or value == float('inf'):
        raise BadInputError('command line', option, f'a number from {least} is allowed')


def _run(make: Callable[[], StoreStandin | BackendServerStandin], name: str) -> None:
    configure(name=name)
    ended = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: ended.set())
    with reported_errors():
        server = make()
    server.start()
    logger.info('ready', address=server.address)
    ended.wait()
    server.stop()
    logger.info('stopped')
