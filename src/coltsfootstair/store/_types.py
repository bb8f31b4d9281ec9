"""Ports of the platform's object store and VM list, and the types they use."""

from __future__ import annotations

from typing import NamedTuple, Protocol

__all__ = ['ABSENT', 'Store', 'VersionedObject', 'VirtualMachine', 'VmList']

ABSENT = 0
"""The version of an object that does not exist."""


class VersionedObject(NamedTuple):
    """An object of the store at one version.

    :param version: revision of the store at which the object last changed; ``ABSENT`` if the
        object does not exist
    :param value: empty if the object does not exist
    """

    key: str
    version: int
    value: bytes


class VirtualMachine(NamedTuple):
    """A VM as the platform lists it; the list may be out of date.

    :param inner_address: ``IP:PORT`` on which other daemons reach the daemon on the VM
    :param leaving: whether the platform has announced that the VM will end
    """

    name: str
    data_centre: str
    inner_address: str
    leaving: bool


class Store(Protocol):
    """The object store, with versions, conditional writes and watches.

    Every method raises ``StoreUnavailableError`` if no valid answer came in time.
    """

    def get(self, key: str) -> VersionedObject:
        """Read one object; its version is ``ABSENT`` if it does not exist."""

    def scan(self, prefix: str) -> tuple[list[VersionedObject], int]:
        """Read all objects whose key starts with ``prefix``.

        :return: the objects, and the revision of the store at that read
        """

    def put(self, key: str, value: bytes, *, expected_version: int) -> int:
        """Write ``key`` if it is at version ``expected_version``; return the new version.

        :raises StoreConflictError: the object is at another version
        """

    def delete(self, key: str, *, expected_version: int) -> int:
        """Delete ``key`` if it is at version ``expected_version``; return the new revision.

        :raises StoreConflictError: the object is at another version
        """

    def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> tuple[list[VersionedObject], int]:
        """Wait for changes after a revision; an object with an empty value is deleted.

        :return: the changed objects, and the revision of the store; no objects if there was
            no change within ``timeout_s``
        :raises RevisionTooOldError: the store no longer has the changes after
            ``after_revision``
        """


class VmList(Protocol):
    """The platform's list of VMs, which may be out of date."""

    def list(self) -> dict[str, VirtualMachine]:
        """Return the listed VMs by name."""
