"""Differences between two versions of a large value, for daemons that have the older one."""

from __future__ import annotations

from typing import Any

import msgspec

from coltsfootstair.errors import ProtocolError

__all__ = ['Delta', 'apply_delta', 'compute_delta']

MAX_DELTA_DEPTH = 4
"""Levels of nested tables that are compared; what differs further down is sent in full."""


class Whole(msgspec.Struct, tag='whole', array_like=True, frozen=True):
    """A value that replaces the older one."""

    value: Any


class CopiedItems(msgspec.Struct, tag='copy', array_like=True, frozen=True):
    """Items of the older list, from ``start`` on."""

    start: int
    count: int


class NewItems(msgspec.Struct, tag='new', array_like=True, frozen=True):
    """Items that the older list does not have."""

    values: list[Any]


class ListDelta(msgspec.Struct, tag='list', array_like=True, frozen=True):
    """A list made of parts of the older one and of new items, in order."""

    parts: list[CopiedItems | NewItems]


class DictDelta(msgspec.Struct, tag='dict', array_like=True, frozen=True):
    """A table with some fields changed, added or removed."""

    changed: dict[str, Whole | ListDelta | DictDelta]
    removed: list[str]


Delta = Whole | ListDelta | DictDelta
"""What turns the older value into the newer one."""


def compute_delta(old: Any, new: Any, depth: int = 0) -> Delta:
    """Return what turns ``old`` into ``new``: lists, tables and plain values.

    :raises OverflowError: a whole number has more than 64 bits
    :raises RecursionError: a value is nested too deeply
    """
    if isinstance(old, list) and isinstance(new, list):
        return _compute_list_delta(old, new)
    if not isinstance(old, dict) or not isinstance(new, dict) or depth >= MAX_DELTA_DEPTH:
        return Whole(new)
    changed = {
        key: compute_delta(old[key], value, depth + 1) if key in old else Whole(value)
        for key, value in new.items()
        if key not in old or not _is_same(old[key], value)
    }
    return DictDelta(changed, [key for key in old if key not in new])


def _compute_list_delta(old: list[Any], new: list[Any]) -> ListDelta:
    index_by_item: dict[bytes, int] = {}
    for position, item in enumerate(old):
        index_by_item.setdefault(_encode(item), position)
    parts: list[CopiedItems | NewItems] = []
    for item in new:
        last = parts[-1] if parts else None
        index = index_by_item.get(_encode(item))
        match last:
            case CopiedItems(start, count) if index == start + count:
                parts[-1] = CopiedItems(start, count + 1)
            case NewItems(values) if index is None:
                values.append(item)
            case _:
                parts.append(NewItems([item]) if index is None else CopiedItems(index, 1))
    return ListDelta(parts)


def apply_delta(old: Any, delta: Delta) -> Any:
    """Return the newer value; parts that did not change are those of ``old`` itself.

    :raises ProtocolError: the delta does not fit ``old``
    """
    match delta:
        case Whole(value):
            return value
        case ListDelta(parts):
            if not isinstance(old, list):
                raise ProtocolError(f'a list changes, but it was a {type(old).__name__}')
            return _apply_list_delta(old, parts)
        case DictDelta(changed, removed):
            if not isinstance(old, dict):
                raise ProtocolError(f'a table changes, but it was a {type(old).__name__}')
            value = {key: item for key, item in old.items() if key not in removed}
            for key, change in changed.items():
                value[key] = apply_delta(old.get(key), change)
            return value


def _apply_list_delta(old: list[Any], parts: list[CopiedItems | NewItems]) -> list[Any]:
    value: list[Any] = []
    for part in parts:
        match part:
            case CopiedItems(start, count):
                if not 0 <= start <= start + count <= len(old):
                    raise ProtocolError(
                        f'items {start} to {start + count} are copied of a list of {len(old)}'
                    )
                value += old[start : start + count]
            case NewItems(values):
                value += values
    return value


def _is_same(old: Any, new: Any) -> bool:
    """Whether two values are the same; unlike ``==``, 1, 1.0 and true differ."""
    return old is new or _encode(old) == _encode(new)


def _encode(value: Any) -> bytes:
    return msgspec.msgpack.encode(value)
