"""The protocol between daemons: typed messages in msgpack streams over TCP."""

from __future__ import annotations

from coltsfootstair.inner._codec import MAX_FRAME_BYTES, Decoder, encode
from coltsfootstair.inner._hub import Hub, HubListener, Stream
from coltsfootstair.inner._messages import (
    AnswerChunk,
    AnswerHead,
    AnswerMessage,
    BodyAborted,
    BodyChunk,
    BodyMessage,
    CancelRequest,
    Credit,
    Hello,
    Message,
    Refused,
    RequestHead,
)
from coltsfootstair.inner._notes import (
    NoteConfirmed,
    NoteDropped,
    NoteOperation,
    NoteRows,
    NotesBegun,
    NotesMessage,
    RowDropped,
    RowHanded,
)
from coltsfootstair.inner._updates import (
    ReportAnswer,
    ReportRequest,
    UpdatesAnswer,
    UpdatesRequest,
    VmListing,
)

__all__ = [
    'MAX_FRAME_BYTES',
    'AnswerChunk',
    'AnswerHead',
    'AnswerMessage',
    'BodyAborted',
    'BodyChunk',
    'BodyMessage',
    'CancelRequest',
    'Credit',
    'Decoder',
    'Hello',
    'Hub',
    'HubListener',
    'Message',
    'NoteConfirmed',
    'NoteDropped',
    'NoteOperation',
    'NoteRows',
    'NotesBegun',
    'NotesMessage',
    'Refused',
    'ReportAnswer',
    'ReportRequest',
    'RequestHead',
    'RowDropped',
    'RowHanded',
    'Stream',
    'UpdatesAnswer',
    'UpdatesRequest',
    'VmListing',
    'encode',
]
