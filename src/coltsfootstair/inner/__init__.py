"""Protocol between daemons: typed messages in msgpack over TCP streams."""

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
    RequestHead,
    RequestRefused,
)
from coltsfootstair.inner._replication import (
    OperationDropped,
    OperationUpdated,
    ReplicationConfirmed,
    ReplicationMessage,
    ReplicationStarted,
    RowDropped,
    RowHandedOver,
    RowsSent,
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
    'OperationDropped',
    'OperationUpdated',
    'ReplicationConfirmed',
    'ReplicationMessage',
    'ReplicationStarted',
    'ReportAnswer',
    'ReportRequest',
    'RequestHead',
    'RequestRefused',
    'RowDropped',
    'RowHandedOver',
    'RowsSent',
    'Stream',
    'UpdatesAnswer',
    'UpdatesRequest',
    'VmListing',
    'encode',
]
