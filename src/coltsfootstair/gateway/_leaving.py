"""Takes from the heads of answers which backend servers are leaving."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coltsfootstair.gateway._types import Dialect, HeadFacts
    from coltsfootstair.http1 import Headers
    from coltsfootstair.registry import BackendServer, Registry

__all__ = ['LeavingObserver', 'is_said_by_named_server']


def is_said_by_named_server(
    facts: HeadFacts, *, has_key: bool, has_other_at_address: bool
) -> bool:
    """Whether the server that a request names has said that it is leaving.

    Another server at its address answers that it is the wrong one. So does the named one, but
    only to a request with a key. If such an answer comes from another server after all, the
    named incarnation has ended, and holding it back takes nothing from anybody.

    :param has_key: whether the request has a key
    :param has_other_at_address: whether another server is known to have the address
    """
    if not facts.says_leaving:
        return False
    return not facts.is_wrong_server or (has_key and not has_other_at_address)


class LeavingObserver:
    """Marks servers in the registry that say in the head of an answer that they leave."""

    def __init__(self, dialect: Dialect, registry: Registry) -> None:
        self._dialect = dialect
        self._registry = registry

    def on_head(
        self, server: BackendServer, has_key: bool, status: int, headers: Headers
    ) -> None:
        """Read the head of an answer on a connection to ``server``.

        :param server: the server that the last request on the connection names
        :param has_key: whether that request has a key
        """
        facts = self._dialect.parse_head(status, headers)
        if facts.says_leaving and is_said_by_named_server(
            facts,
            has_key=has_key,
            has_other_at_address=self._registry.has_other_at_address(server),
        ):
            self._registry.mark_leaving(server.incarnation)
