"""The operators' commands; each calls the operators' interface of one daemon."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Annotated

import cyclopts
from cyclopts import Parameter

from coltsfootstair import document
from coltsfootstair.cli._app import app
from coltsfootstair.cli._failures import EXIT_BAD_INPUT, EXIT_FAILED, exit_on_errors
from coltsfootstair.cli._report import print_status, print_timeline
from coltsfootstair.cli._settings import config
from coltsfootstair.document import State
from coltsfootstair.operators import (
    Applied,
    ApplyResult,
    Conflict,
    Dangerous,
    Faulty,
    OperatorsClient,
    Unavailable,
)
from coltsfootstair.settings import read_text

__all__ = ['backend_server', 'data_centre']

data_centre = cyclopts.App(
    name='data-centre', help='Take a data centre out, or bring it back.'
)
backend_server = cyclopts.App(
    name='backend-server', help='Drain a backend server, or restore it.'
)
app.command(data_centre)
app.command(backend_server)

DaemonOption = Annotated[
    str, Parameter(name='--daemon', help="operators' address of a daemon, as IP:PORT")
]
ForceOption = Annotated[
    bool, Parameter(negative='', help='apply the change even if it is dangerous')
]
JsonOption = Annotated[bool, Parameter(name='--json', negative='', help='print JSON')]


@config.command(name='apply')
def apply(
    file: Path, *, daemon: DaemonOption, base: int | None = None, force: ForceOption = False
) -> None:
    """Replace the operators' document by the one in FILE.

    :param file: document in TOML
    :param base: version that must be the present one for the change to be applied
    """
    with exit_on_errors():
        text = read_text(file)
        document.parse(text, str(file))
        _print_result(OperatorsClient(daemon).apply(text, base, force=force))


@config.command(name='show')
def show(*, daemon: DaemonOption) -> None:
    """Print the present document, with its version in a leading comment."""
    with exit_on_errors():
        present = OperatorsClient(daemon).document()
    print(f'# version {present.version}\n{present.text}', end='')


@data_centre.command(name='take-out')
def take_out(name: str, *, daemon: DaemonOption, force: ForceOption = False) -> None:
    """Take data centre NAME out: it is given no new work.

    :param name: name of the data centre
    """
    with exit_on_errors():
        _print_result(OperatorsClient(daemon).set_data_centre(name, State.OUT, force=force))


@data_centre.command(name='bring-back')
def bring_back(name: str, *, daemon: DaemonOption, force: ForceOption = False) -> None:
    """Bring data centre NAME back: it may be given new work again.

    :param name: name of the data centre
    """
    with exit_on_errors():
        _print_result(OperatorsClient(daemon).set_data_centre(name, State.IN, force=force))


@backend_server.command(name='drain')
def drain(name: str, *, daemon: DaemonOption, force: ForceOption = False) -> None:
    """Drain backend server NAME: it is given no new work.

    :param name: name of the backend server
    """
    with exit_on_errors():
        _print_result(OperatorsClient(daemon).set_backend_server(name, State.OUT, force=force))


@backend_server.command(name='restore')
def restore(name: str, *, daemon: DaemonOption, force: ForceOption = False) -> None:
    """Restore backend server NAME: it may be given new work again.

    :param name: name of the backend server
    """
    with exit_on_errors():
        _print_result(OperatorsClient(daemon).set_backend_server(name, State.IN, force=force))


@app.command(name='status')
def status(*, daemon: DaemonOption, as_json: JsonOption = False) -> None:
    """Show daemons with their document versions, coordinators, and owners of keys."""
    with exit_on_errors():
        report = OperatorsClient(daemon).status()
    if as_json:
        print(json.dumps(report, indent=2))
    else:
        print_status(report)


@app.command(name='timeline')
def timeline(*, daemon: DaemonOption, as_json: JsonOption = False) -> None:
    """Show the events of all daemons in one causal order."""
    with exit_on_errors():
        events = OperatorsClient(daemon).timeline()
    if as_json:
        print(json.dumps(events, indent=2))
    else:
        print_timeline(events)


def _print_result(result: ApplyResult) -> None:
    match result:
        case Applied(version, changes):
            for change in changes:
                print(change)
            print(
                f'accepted as version {version}'
                if changes
                else f'nothing to change in version {version}'
            )
        case Conflict(version, changes, detail):
            since = '; '.join(changes) or 'its changes are unknown to this daemon'
            _fail(f'conflict: version {version} came first: {since}', detail)
        case Dangerous(dangers):
            _fail(*(f'dangerous change needs --force: {danger}' for danger in dangers))
        case Faulty(faults):
            _fail(*faults, code=EXIT_BAD_INPUT)
        case Unavailable(detail):
            _fail(detail)


def _fail(*lines: str, code: int = EXIT_FAILED) -> None:
    for line in lines:
        if line:
            print(line, file=sys.stderr)
    sys.exit(code)
