"""The socket for datagrams between daemons."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import structlog

from coltsfootstair.errors import ProtocolError
from coltsfootstair.http1 import Address
from coltsfootstair.peers._messages import Message, decode_message, encode_message

__all__ = ['PeerChannel']

logger = structlog.get_logger()

Receiver = Callable[[Message, Address], None]


class PeerChannel(asyncio.DatagramProtocol):
    """Sends and receives messages; what is lost is not sent again."""

    def __init__(self, receive: Receiver) -> None:
        self._receive = receive
        self._transport: asyncio.DatagramTransport | None = None

    @classmethod
    async def open(cls, address: Address, receive: Receiver) -> PeerChannel:
        """Bind to ``address``."""
        loop = asyncio.get_running_loop()
        _, channel = await loop.create_datagram_endpoint(
            lambda: cls(receive), local_addr=(address.host, address.port)
        )
        return channel

    def send(self, message: Message, address: Address) -> None:
        """Send ``message`` to the daemon at ``address``."""
        if self._transport is not None:
            self._transport.sendto(encode_message(message), (address.host, address.port))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # The event loop's own class is no subclass of the one that its interface names.
        self._transport = cast('asyncio.DatagramTransport', transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a message on; log what is none."""
        try:
            message = decode_message(data)
        except ProtocolError as error:
            logger.warning(
                'datagram refused', sender=f'{addr[0]}:{addr[1]}', reason=str(error)
            )
            return
        self._receive(message, Address(addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Log that a datagram could not be delivered."""
        logger.debug('datagram not delivered', reason=repr(exc))
