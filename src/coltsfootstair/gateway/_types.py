"""The ports through which a platform's names are kept out of the daemon."""

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

__all__ = ['AnswerFacts', 'CallerFacts', 'Dialect', 'ObjectKinds', 'PlatformPorts']


class CallerFacts(NamedTuple):
    """What a caller's headers say.

    :param wait_s: how long the caller waits, in seconds; ``None`` if it did not say
    :param key: the key of a service divided by key; ``None`` if there is no valid one
    """

    request_id: bytes | None
    wait_s: float | None
    key: int | None


class AnswerFacts(NamedTuple):
    """What a backend server's answer says beside its status.

    :param signed: whether it carries the mark of a backend server
    :param not_run: whether it says that the request has not run
    :param wrong_server: whether another backend server has the address, or not the key
    """

    signed: bool
    not_run: bool
    wrong_server: bool
    load: LoadReport | None


class Dialect(Protocol):
    """Headers towards callers and backend servers."""

    id_header: bytes

    def caller_facts(self, headers: Headers) -> CallerFacts:
        """Read a caller's headers."""

    def request_headers(
        self, headers: Headers, left_s: float, server: BackendServer
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers with which a request is passed on."""

    def answer_facts(self, answer: Answer) -> AnswerFacts:
        """Read a backend server's answer."""

    def answer_headers(self, headers: Headers) -> list[tuple[bytes, bytes]]:
        """Return the headers with which an answer is passed on."""


class ObjectKinds(NamedTuple):
    """Names of the kinds of objects that others write."""

    configuration: str
    backend_servers: str
    evacuations: str


class PlatformPorts(NamedTuple):
    """All that a daemon needs of its platform."""

    kinds: ObjectKinds
    dialect: Dialect
    store: ObjectStore
    orders: GrantClient
    decoder: ObjectDecoder


class ObjectDecoder(Protocol):
    """Reads objects that others write; each raises ``BadInputError``."""

    def configuration(self, item: StoredObject) -> Configuration | None:
        """Read a configuration; ``None`` if the object is another one."""

    def backend_server(self, item: StoredObject) -> BackendServer:
        """Read the entry of a backend server."""

    def evacuated(self, item: StoredObject) -> str:
        """Read which data centre gets nothing."""
