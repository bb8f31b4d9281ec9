"""Faults that a stand-in can be made to show."""

from __future__ import annotations

from typing import Literal

import msgspec

__all__ = ['BackendServerFault', 'StoreFault']


class BackendServerFault(msgspec.Struct, forbid_unknown_fields=True):
    """A change of a backend server's faults; ``None`` leaves one as it is.

    :param slow_ms: milliseconds added to each request
    :param cold: ``True`` begins a cold start
    """

    slow_ms: float | None = None
    freeze: bool | None = None
    cold: bool | None = None
    shed: bool | None = None
    load_report: Literal['lie', 'honest'] | None = None
    drop_answers: bool | None = None


class StoreFault(msgspec.Struct, forbid_unknown_fields=True):
    """A change of the store's faults; ``None`` leaves one as it is.

    :param slow_ms: milliseconds before each call
    :param lose_answers: the share of calls that take effect and are not answered
    :param vm_gone: a VM that the list drops after its lag
    :param vm_leaving: a VM that the list shows as leaving
    """

    down: bool | None = None
    slow_ms: float | None = None
    lose_answers: float | None = None
    vm_gone: str | None = None
    vm_leaving: str | None = None
