"""Faults that can be injected into a stand-in."""

from __future__ import annotations

from typing import Literal

import msgspec

__all__ = ['BackendServerFault', 'StoreFault']


class BackendServerFault(msgspec.Struct, forbid_unknown_fields=True):
    """The injected faults of a backend server, or a change of them.

    In a change, ``None`` leaves a fault as it is.

    :param slow_ms: milliseconds added to each request
    :param freeze: whether all calls except ``/-/truth`` and ``/-/fault`` are held back until
        the fault ends
    :param cold: ``True`` starts a cold start, ``False`` ends it
    :param shed: whether every request is refused as overload
    :param load_report: ``'lie'`` makes the health answer hide load and cold start
    :param drop_answers: whether answers are alternately not sent and truncated
    """

    slow_ms: float | None = None
    freeze: bool | None = None
    cold: bool | None = None
    shed: bool | None = None
    load_report: Literal['lie', 'honest'] | None = None
    drop_answers: bool | None = None


class StoreFault(msgspec.Struct, forbid_unknown_fields=True):
    """The injected faults of the store, or a change of them.

    In a change, ``None`` leaves a fault as it is.

    :param down: whether every call is answered with status 503
    :param slow_ms: milliseconds by which each call is delayed
    :param lose_answers: share of the calls that take effect but are not answered
    :param vm_gone: name of a VM that has ended; the VM list drops it after its lag
    :param vm_leaving: name of a VM that the VM list shows as leaving from now on
    """

    down: bool | None = None
    slow_ms: float | None = None
    lose_answers: float | None = None
    vm_gone: str | None = None
    vm_leaving: str | None = None
