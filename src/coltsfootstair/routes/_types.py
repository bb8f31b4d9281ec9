"""Types of the configuration in force."""

from __future__ import annotations

import enum
from typing import NamedTuple

from coltsfootstair.http1 import CallerLimits

__all__ = ['Configuration', 'RequestKind', 'Route', 'ServicePolicy', 'WeightedService']


class RequestKind(enum.StrEnum):
    """What may be repeated."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at most once'


class WeightedService(NamedTuple):
    """A service's part of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where the requests of a host and path prefix go.

    :param prefix: begins and ends with a slash
    :param max_attempts: backend servers that one request may be sent to
    :param timeout_s: the longest time that a caller is kept waiting
    :param target_latency_s: the time within which an answer is worth most
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
    """What is allowed towards the backend servers of one service.

    :param max_connections: connections that a backend server takes from all daemons
    :param cold_per_s: requests a second that a cold backend server takes from all daemons
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
