"""Types of the operators' configuration."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from coltsfootstair.http1 import CallerLimits
from coltsfootstair.workspaces import Workspace

__all__ = ['Configuration', 'RequestKind', 'Route', 'ServicePolicy', 'WeightedService']


class RequestKind(enum.StrEnum):
    """Whether a request may be retried after a backend server may have run it.

    A request of kind ``AT_MOST_ONCE`` may not.
    """

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at most once'


class WeightedService(NamedTuple):
    """A service with its share of a route's requests.

    :param weight: relative to the weights of the route's other services
    """

    service: str
    weight: float


class Route(NamedTuple):
    """Rules for the requests that match a host and path prefix.

    :param prefix: path prefix; begins and ends with a slash
    :param weighted_services: services among which the requests are split
    :param max_attempts: maximum number of attempts, each at another backend server if there is
        one
    :param timeout_s: maximum time from a request to its answer, in seconds
    :param target_latency_s: time within which a request should be answered, in seconds; a
        later answer is still passed on, but counts as late
    :param priority: 0 is the most urgent
    :param needs_key: whether callers must send the key of a workspace, if there are any
    """

    name: str
    host: bytes
    prefix: bytes
    kind: RequestKind
    weighted_services: tuple[WeightedService, ...]
    max_attempts: int
    timeout_s: float
    target_latency_s: float
    priority: int
    needs_key: bool = True


class ServicePolicy(NamedTuple):
    """Limits for requests to the backend servers of one service.

    :param max_connections: connections that a backend server accepts from all daemons
        together
    :param cold_duration_s: how long a backend server stays cold, in seconds
    :param cold_requests_per_s: requests a second that a cold backend server accepts from
        all daemons together
    :param divided_by_key: whether its keys are divided among its backend servers, so that each
        key has one owner
    """

    name: str
    health_path: str
    max_connections: int
    cold_duration_s: float
    cold_requests_per_s: float
    divided_by_key: bool


class Configuration(NamedTuple):
    """One version of the operators' configuration.

    :param workspace_by_digest: workspaces by the digests of their keys; a workspace without a
        key serves nobody, and is left out
    :param has_workspaces: whether there are any workspaces, so that routes need a key
    """

    version: int
    routes: tuple[Route, ...]
    policy_by_service: dict[str, ServicePolicy]
    limits: CallerLimits
    workspace_by_digest: Mapping[bytes, Workspace] = MappingProxyType({})
    has_workspaces: bool = False
