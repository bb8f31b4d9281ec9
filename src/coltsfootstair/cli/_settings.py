"""Commands that check files without contacting a daemon."""

from __future__ import annotations

from pathlib import Path

import cyclopts

from coltsfootstair import document, settings
from coltsfootstair.cli._app import app
from coltsfootstair.cli._failures import exit_on_errors
from coltsfootstair.settings import read_text

__all__ = ['config', 'settings_commands']

settings_commands = cyclopts.App(name='settings', help="A daemon's settings.")
config = cyclopts.App(name='config', help="The operators' document.")
app.command(settings_commands)
app.command(config)


@settings_commands.command(name='check')
def check_settings(file: Path) -> None:
    """Check the settings of a daemon in FILE.

    :param file: settings in TOML
    """
    with exit_on_errors():
        settings.load(file)
    print(f'{file}: no fault found')


@config.command(name='check')
def check_document(file: Path) -> None:
    """Check the operators' document in FILE.

    :param file: document in TOML
    """
    with exit_on_errors():
        document.parse(read_text(file), str(file))
    print(f'{file}: no fault found')
