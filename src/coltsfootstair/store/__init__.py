"""The platform's object store and VM list, behind one narrow interface."""

from __future__ import annotations

from coltsfootstair.store._types import ABSENT, Store, Versioned, VirtualMachine, VmList

__all__ = ['ABSENT', 'Store', 'Versioned', 'VirtualMachine', 'VmList']
