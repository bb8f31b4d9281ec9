"""Types of the operators' configuration."""

from __future__ import annotations

import enum
from typing import NamedTuple

from coltsfootstair.http1 import CallerLimits

__all__ = ['Configuration', 'RequestKind', 'Route', 'ServicePolicy', 'WeightedService']


class RequestKind(enum.StrEnum):
    """Whether a request may be retried after a backend server may have run it."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at most once'


class WeightedService(NamedTuple):
    """A service with its part of a route's requests.

    :param weight: relative to the weights of the route's other services
    """

    service: str
    weight: float


class Route(NamedTuple):
    """Rules for the requests that match a host and path prefix.

    :param prefix: path prefix; begins and ends with a slash
    :param weighted_services: services among which the requests are split
    :param max_attempts: maximum number of backend servers that one request is sent to
    :param timeout_s: maximum time from a request to its answer, in seconds
    :param target_latency_s: time within which an answer is worth most, in seconds; an
        answer after it counts as late
    :param priority: 0 is the most urgent
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


class ServicePolicy(NamedTuple):
    """Limits for requests to the backend servers of one service.

    :param max_connections: connections that a backend server accepts from all daemons
        together
    :param cold_duration_s: how long a backend server stays cold, in seconds
    :param cold_requests_per_s: requests a second that a cold backend server accepts from
        all daemons together
    :param divided_by_key: whether each key has one owner
    """

    name: str
    health_path: str
    max_connections: int
    cold_duration_s: float
    cold_requests_per_s: float
    divided_by_key: bool


class Configuration(NamedTuple):
    """One version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    policy_by_service: dict[str, ServicePolicy]
    limits: CallerLimits
