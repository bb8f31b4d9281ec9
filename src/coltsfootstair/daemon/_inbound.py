"""Dispatches messages from other daemons to the tasks that handle them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootstair.coordinator import (
    Exchange,
    ReplicationReceived,
    RowHandoverReceived,
    StreamClosed,
)
from coltsfootstair.inner import (
    AnswerChunk,
    AnswerHead,
    BodyAborted,
    BodyChunk,
    CancelRequest,
    Credit,
    OperationDropped,
    OperationUpdated,
    ReplicationConfirmed,
    ReplicationStarted,
    RequestHead,
    RequestRefused,
    RowDropped,
    RowHandedOver,
    RowsSent,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootstair.clock import Clock
    from coltsfootstair.coordinator import Coordinator
    from coltsfootstair.entry import PendingAnswers
    from coltsfootstair.inner import AnswerMessage, Message, Stream

__all__ = ['InboundDispatcher']


class InboundDispatcher:
    """Listens to the hub of a daemon; other parts add handlers by message type."""

    def __init__(
        self, clock: Clock, coordinator: Coordinator, pending_answers: PendingAnswers
    ) -> None:
        self._clock = clock
        self._coordinator = coordinator
        self._pending_answers = pending_answers
        self._exchange_by_id: dict[tuple[Stream, str], Exchange] = {}
        self._handler_by_type: dict[type, Callable[[Stream, Message], None]] = {}
        self._stream_closed_handlers: list[Callable[[Stream], None]] = []

    def add_handler(
        self, message_type: type, handler: Callable[[Stream, Message], None]
    ) -> None:
        """Call ``handler`` for each message of ``message_type``, on the hub's thread."""
        self._handler_by_type[message_type] = handler

    def add_stream_closed_handler(self, handler: Callable[[Stream], None]) -> None:
        """Call ``handler`` for each stream that has closed, on the hub's thread."""
        self._stream_closed_handlers.append(handler)

    def on_message(self, stream: Stream, message: Message) -> None:
        """Dispatch a message."""
        match message:
            case RequestHead():
                self._open_exchange(stream, message)
            case BodyChunk(request_id) | BodyAborted(request_id):
                self._pass_to_exchange(stream, request_id, message)
            case Credit(request_id, _):
                self._pass_to_exchange(stream, request_id, message)
                self._pending_answers.deliver(stream, message)
            case AnswerHead() | AnswerChunk() | RequestRefused():
                self._pending_answers.deliver(stream, message)
            case CancelRequest(request_id):
                self._coordinator.cancel(request_id)
            case (
                ReplicationStarted()
                | OperationUpdated()
                | ReplicationConfirmed()
                | RowsSent()
                | OperationDropped()
                | RowDropped()
            ):
                self._coordinator.post(ReplicationReceived(stream, message))
            case RowHandedOver():
                self._coordinator.post(RowHandoverReceived(message))
            case _:
                self._pass_to_handler(stream, message)

    def on_stream_closed(self, stream: Stream) -> None:
        """Abort the exchanges that depend on ``stream``, and notify the other parts."""
        self._pending_answers.on_stream_lost(stream)
        self._coordinator.post(StreamClosed(stream))
        for origin, request_id in list(self._exchange_by_id):
            if origin is stream:
                exchange = self._exchange_by_id.pop((origin, request_id))
                exchange.inbox.put(BodyAborted(request_id))
        for handler in self._stream_closed_handlers:
            handler(stream)

    def _open_exchange(self, stream: Stream, head: RequestHead) -> None:
        key = (stream, head.request_id)

        def reply(message: AnswerMessage) -> None:
            if _is_end_of_answer(message):
                self._exchange_by_id.pop(key, None)
            stream.send(message)

        exchange = Exchange(head, reply, self._clock)
        self._exchange_by_id[key] = exchange
        self._coordinator.submit(exchange)

    def _pass_to_exchange(
        self, stream: Stream, request_id: str, message: BodyChunk | BodyAborted | Credit
    ) -> None:
        exchange = self._exchange_by_id.get((stream, request_id))
        if exchange is not None:
            exchange.inbox.put(message)

    def _pass_to_handler(self, stream: Stream, message: Message) -> None:
        handler = self._handler_by_type.get(type(message))
        if handler is not None:
            handler(stream, message)


def _is_end_of_answer(message: AnswerMessage) -> bool:
    match message:
        case AnswerHead():
            return message.complete
        case AnswerChunk():
            return message.last
        case RequestRefused():
            return True
    return False
