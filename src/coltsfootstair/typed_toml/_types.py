"""Field types that several TOML files share."""

from __future__ import annotations

import ipaddress
from typing import Annotated, NewType

from msgspec import Meta

__all__ = ['Address', 'ListenAddress', 'Name', 'PositiveInt', 'parse_address']

MAX_NAME_LENGTH = 63
MAX_PORT = 65_535
MAX_POSITIVE_INT = 1_000_000

Name = Annotated[
    str,
    Meta(pattern=r'\A[A-Za-z0-9][A-Za-z0-9._-]*\Z', max_length=MAX_NAME_LENGTH),
]
PositiveInt = Annotated[int, Meta(ge=1, le=MAX_POSITIVE_INT)]
Address = NewType('Address', str)
"""``IP:PORT`` of another process."""
ListenAddress = NewType('ListenAddress', str)
"""``IP:PORT`` to listen on; with port 0 the operating system chooses one."""


def parse_address(text: str, *, min_port: int = 1) -> tuple[str, int]:
    """Split ``IP:PORT`` or ``[IP]:PORT`` into its IP number and its port.

    :raises ValueError: ``text`` has another form, or its port is out of range
    """
    host, colon, port_text = text.rpartition(':')
    if not colon or not (port_text.isascii() and port_text.isdigit()):
        raise ValueError('the address has no port')
    if host.startswith('[') and host.endswith(']'):
        host = str(ipaddress.IPv6Address(host[1:-1]))
    else:
        host = str(ipaddress.IPv4Address(host))
    port = int(port_text)
    if not min_port <= port <= MAX_PORT:
        raise ValueError('the port is out of range')
    return host, port
