"""Ports of the platform's object store and VM list, their client and a local replica."""

from __future__ import annotations

from coltsfootstair.errors import RevisionTooOldError
from coltsfootstair.store._client import HttpStore, StoreIdentity
from coltsfootstair.store._replica import Replica
from coltsfootstair.store._types import ABSENT, Store, VersionedObject, VirtualMachine, VmList

__all__ = [
    'ABSENT',
    'HttpStore',
    'Replica',
    'RevisionTooOldError',
    'Store',
    'StoreIdentity',
    'VersionedObject',
    'VirtualMachine',
    'VmList',
]
