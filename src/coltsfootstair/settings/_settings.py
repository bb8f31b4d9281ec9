"""Reads a daemon's settings file and checks it."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple
from urllib.parse import urlsplit

from coltsfootstair.errors import BadInputError
from coltsfootstair.typed_toml import ListenAddress, Name, PositiveInt, TomlReader

__all__ = ['DaemonSettings', 'load', 'parse', 'read_text']

DEFAULT_UPLOAD_MEMORY_MIB = 64

_LISTEN_FIELDS = dict.fromkeys(('callers', 'operators', 'inner'), ListenAddress)


class DaemonSettings(NamedTuple):
    """The settings of one daemon.

    :param name: name of the daemon
    :param callers: ``IP:PORT`` on which callers are served
    :param operators: ``IP:PORT`` of the console and the operators' interface
    :param inner: ``IP:PORT`` for connections from other daemons
    :param store_url: ``http://IP:PORT`` of the store
    :param upload_memory_mib: memory for the bodies of uploads in progress, in MiB
    """

    name: str
    data_centre: str
    callers: str
    operators: str
    inner: str
    store_url: str
    upload_memory_mib: int = DEFAULT_UPLOAD_MEMORY_MIB


def load(path: Path | str) -> DaemonSettings:
    """Read settings from the file ``path``.

    :raises BadInputError: the file cannot be read, or is not UTF-8
    :raises ExceptionGroup: of ``BadInputError``, one for each fault
    """
    return parse(read_text(Path(path)), str(path))


def read_text(path: Path) -> str:
    """Return the text of a file that a user named.

    :raises BadInputError: the file cannot be read, or is not UTF-8
    """
    try:
        return path.read_text(encoding='utf-8')
    except OSError as error:
        reason = error.strerror or 'unknown error'
        raise BadInputError(str(path), 'file', f'must be readable: {reason}') from error
    except UnicodeDecodeError as error:
        raise BadInputError(str(path), 'file', 'must be UTF-8 text') from error


def parse(text: str, source: str) -> DaemonSettings:
    """Parse settings from TOML.

    :param source: the file to name in errors
    :raises ExceptionGroup: of ``BadInputError``, one for each fault
    """
    reader = TomlReader(text, source)
    reader.raise_faults()
    known_fields = dict.fromkeys(('name', 'data_centre', 'listen', 'store', 'limits'))
    reader.reject_unknown_fields((), reader.root, known_fields)
    named_fields: dict[str, str] = {
        field: reader.root[field] for field in ('name', 'data_centre') if field in reader.root
    }
    identity = reader.convert_fields((), named_fields, {'name': Name, 'data_centre': Name})
    listen = reader.convert_fields(('listen',), reader.get_table(('listen',)), _LISTEN_FIELDS)
    store = reader.convert_fields(('store',), reader.get_table(('store',)), {'url': str})
    limits = reader.convert_fields(
        ('limits',),
        reader.get_table(('limits',)),
        {'upload_memory_mib': PositiveInt},
        {'upload_memory_mib': DEFAULT_UPLOAD_MEMORY_MIB},
    )
    if store and not _is_http_url(store['url']):
        reader.add_fault(('store', 'url'), 'must be http://IP:PORT')
    if listen:
        _check_addresses_differ(reader, listen)
    reader.raise_faults()
    return DaemonSettings(
        **(identity or {}), **(listen or {}), store_url=(store or {})['url'], **(limits or {})
    )


def _check_addresses_differ(reader: TomlReader, listen: dict[str, str]) -> None:
    field_by_address: dict[str, str] = {}
    for field, address in listen.items():
        if not address.endswith(':0') and field_by_address.setdefault(address, field) != field:
            reader.add_fault(
                ('listen', field), f'must be another address than {field_by_address[address]}'
            )


def _is_http_url(url: str) -> bool:
    try:
        parts = urlsplit(url)
        return parts.scheme == 'http' and bool(parts.hostname) and bool(parts.port)
    except ValueError:
        return False
