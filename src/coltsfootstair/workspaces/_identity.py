"""Decides to which workspace a request belongs, or why it is denied."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from coltsfootstair.workspaces._types import Workspace, digest_key

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ['Identity', 'KeyDenial', 'identify']


class KeyDenial(enum.Enum):
    """Why a request is denied.

    - ``UNKNOWN_KEY``: it has no key, or one that no workspace holds.
    - ``NOT_CURRENT``: this daemon does not know whether its configuration is current.
    """

    UNKNOWN_KEY = 'unknown key'
    NOT_CURRENT = 'not current'


Identity = Workspace | KeyDenial | None
"""The workspace of a request, the reason of its denial, or ``None`` if it has no workspace and
needs none."""


def identify(
    key: bytes | None,
    workspace_by_digest: Mapping[bytes, Workspace],
    *,
    has_workspaces: bool,
    needs_key: bool,
    is_current: bool,
    is_recent: bool,
) -> Identity:
    """Return the workspace that holds ``key``, or why the request is denied.

    :param workspace_by_digest: workspaces by the digests of their keys
    :param has_workspaces: whether the configuration has any; otherwise no request needs a key
    :param needs_key: whether the request's route is for callers with a key only
    :param is_current: whether the configuration is known to be current enough to serve keys
    :param is_recent: whether it was current so lately that a new key would be in it
    """
    if not has_workspaces:
        return None
    workspace = None if key is None else workspace_by_digest.get(digest_key(key))
    if not needs_key:
        return workspace if is_current else None
    if not is_current:
        return KeyDenial.NOT_CURRENT
    if workspace is not None:
        return workspace
    # A key that was not sent is missing under any configuration.
    return KeyDenial.UNKNOWN_KEY if is_recent or key is None else KeyDenial.NOT_CURRENT
