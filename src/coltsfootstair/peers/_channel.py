"""The UDP socket for messages between daemons."""

from __future__ import annotations

import asyncio
import functools
import ipaddress
from collections.abc import Callable
from typing import cast

import structlog

from coltsfootstair.errors import ProtocolError
from coltsfootstair.http1 import Address
from coltsfootstair.peers._messages import Message, decode_message, encode_message
from coltsfootstair.supervision import FailureLog

__all__ = ['PeerChannel']

logger = structlog.get_logger()

MAX_PORT = 65535

MAX_REMEMBERED_RECEIVERS = 16_384
"""Number of addresses of which it is remembered whether a datagram can be sent there."""

MessageHandler = Callable[[Message, Address], None]


class PeerChannel(asyncio.DatagramProtocol):
    """Sends and receives messages; lost datagrams are not retried.

    :param on_message: called with each message and the address of its sender
    :param failures: records what ``on_message`` raises, and messages that can't be encoded
    """

    def __init__(self, on_message: MessageHandler, failures: FailureLog | None = None) -> None:
        self._on_message = on_message
        self._failures = failures or FailureLog()
        self._transport: asyncio.DatagramTransport | None = None

    @classmethod
    async def open(
        cls,
        address: Address,
        on_message: MessageHandler,
        failures: FailureLog | None = None,
    ) -> PeerChannel:
        """Return a channel that is bound to ``address``."""
        loop = asyncio.get_running_loop()
        _, channel = await loop.create_datagram_endpoint(
            lambda: cls(on_message, failures), local_addr=(address.host, address.port)
        )
        return channel

    def send(self, message: Message, address: Address) -> None:
        """Send ``message`` to the daemon at ``address``; do nothing once closed.

        A message that can't be sent, or to nowhere, is logged and dropped like a lost one.
        """
        if self._transport is None:
            return
        try:
            datagram = encode_message(message)
        except ProtocolError as error:
            logger.error('message not sent', receiver=str(address), reason=str(error))
            return
        if not _is_receiver(address):
            # The transport would close for good.
            logger.error('message not sent', receiver=str(address), reason='no IP address')
            return
        try:
            self._transport.sendto(datagram, (address.host, address.port))
        except Exception as error:
            # Any datagram may be lost, so nobody depends on this one.
            self._failures.record(
                'message to daemon',
                error,
                kind=type(message).__name__,
                receiver=str(address),
            )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for sending."""
        # The transport class of the event loop does not derive from DatagramTransport.
        self._transport = cast('asyncio.DatagramTransport', transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a message to the handler; log and drop a datagram that is malformed."""
        try:
            message = decode_message(data)
        except ProtocolError as error:
            logger.warning(
                'malformed datagram dropped', sender=f'{addr[0]}:{addr[1]}', reason=str(error)
            )
            return
        except Exception as error:
            self._failures.record(
                'message of daemon', error, kind='unread', sender=f'{addr[0]}:{addr[1]}'
            )
            return
        try:
            self._on_message(message, Address(addr[0], addr[1]))
        except Exception as error:
            self._failures.record(
                'message of daemon',
                error,
                kind=type(message).__name__,
                sender=f'{addr[0]}:{addr[1]}',
            )

    def error_received(self, exc: Exception) -> None:
        """Log that a datagram could not be delivered."""
        logger.debug('datagram could not be delivered', reason=repr(exc))


@functools.lru_cache(maxsize=MAX_REMEMBERED_RECEIVERS)
def _is_receiver(address: Address) -> bool:
    try:
        ipaddress.ip_address(address.host)
    except ValueError:
        return False
    return 0 < address.port <= MAX_PORT
