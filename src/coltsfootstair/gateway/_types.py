"""Ports to the platform, which keep its names and formats out of the daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from coltsfootstair.keyspace import GrantClient
from coltsfootstair.objects import ObjectStore
from coltsfootstair.placement import LoadReport

if TYPE_CHECKING:
    from coltsfootstair.http1 import Answer, Headers
    from coltsfootstair.objects import StoredObject
    from coltsfootstair.registry import BackendServer
    from coltsfootstair.routes import Configuration

__all__ = [
    'AnswerFacts',
    'CallerFacts',
    'Dialect',
    'HeadFacts',
    'ObjectKinds',
    'PlatformPorts',
]


class CallerFacts(NamedTuple):
    """What the headers of a caller's request state.

    :param timeout_s: how long the caller waits, in seconds; ``None`` if not stated
    :param key: key of a service that is divided by key; ``None`` if there is no valid one
    :param workspace_key: key of a workspace; ``None`` if there is none, empty if several
        different ones were sent
    """

    request_id: bytes | None
    timeout_s: float | None
    key: int | None
    workspace_key: bytes | None = None


class AnswerFacts(NamedTuple):
    """What a backend server's answer states besides its status.

    :param has_signature_header: whether it carries the header that backend servers add to
        each answer; only the header's presence is checked
    :param says_not_run: whether it states that the request has not run
    :param is_wrong_server: whether the server at the address is another one than the request
        names, or does not own the key
    :param load: the server's load report; ``None`` if there is no valid one
    :param retry_after_s: for how long the server wants no further request from this daemon, in
        seconds; ``None`` if it does not say so
    :param malformed_retry_after: the value that stands in its place if it can't be read
    :param names_limit: whether it names a limit, as in ``HeadFacts``, readable or not
    """

    has_signature_header: bool
    says_not_run: bool
    is_wrong_server: bool
    load: LoadReport | None
    retry_after_s: float | None = None
    malformed_retry_after: bytes | None = None
    names_limit: bool = False


class HeadFacts(NamedTuple):
    """What the head of any answer on a connection to a backend server states.

    :param says_leaving: whether the server at the address says that it is leaving
    :param is_wrong_server: as in ``AnswerFacts``
    :param server_name: name that the server gives itself; ``None`` if it gives none
    :param limit_per_s: requests a second that the server takes from all daemons together;
        ``None`` if it does not say so
    :param malformed_limit: the value that stands in its place if it can't be read
    """

    says_leaving: bool
    is_wrong_server: bool
    server_name: str | None = None
    limit_per_s: float | None = None
    malformed_limit: bytes | None = None


class Dialect(Protocol):
    """Reads and writes the platform's headers.

    :ivar request_id_header: name of the header that has the request id
    """

    request_id_header: bytes

    def parse_caller_headers(self, headers: Headers) -> CallerFacts:
        """Parse the headers of a caller's request."""

    def build_request_headers(
        self,
        headers: Headers,
        remaining_s: float,
        server: BackendServer,
        workspace: str | None,
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers with which a request is sent to ``server``.

        :param remaining_s: time until the caller's deadline, in seconds
        :param workspace: name of the request's workspace, if it has one
        """

    def build_relay_headers(
        self, headers: Headers, remaining_s: float
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers with which a request is sent to another daemon.

        :param remaining_s: time until the request's deadline, in seconds
        """

    def parse_head(self, status: int, headers: Headers) -> HeadFacts:
        """Parse the head of an answer, which may be an interim one or have no request."""

    def parse_answer(self, answer: Answer) -> AnswerFacts:
        """Parse a backend server's answer."""

    def build_answer_headers(self, headers: Headers) -> list[tuple[bytes, bytes]]:
        """Return the headers with which an answer is passed to the caller."""


class ObjectKinds(NamedTuple):
    """Names of the kinds of objects that operators and backend servers write."""

    configuration: str
    backend_servers: str
    evacuations: str


class PlatformPorts(NamedTuple):
    """Everything that a daemon needs from its platform."""

    kinds: ObjectKinds
    dialect: Dialect
    store: ObjectStore
    grant_client: GrantClient
    decoder: ObjectDecoder


class ObjectDecoder(Protocol):
    """Decodes objects that operators and backend servers write.

    Each method raises ``BadInputError`` if the object is invalid.
    """

    def decode_configuration(self, item: StoredObject) -> Configuration | None:
        """Decode the configuration; return ``None`` for an object of the kind that
        is not the operators' configuration.
        """

    def decode_backend_server(self, item: StoredObject) -> BackendServer:
        """Decode the entry of a backend server."""

    def decode_evacuation(self, item: StoredObject) -> str:
        """Return the data centre that an evacuation applies to."""
