"""Settings that all tests share."""

from __future__ import annotations

from hypothesis import HealthCheck, settings

settings.register_profile(
    'same-every-run',
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile('same-every-run')
