"""What the rest of the package may ask of the platform."""

from __future__ import annotations

from typing import NamedTuple, Protocol

__all__ = ['ABSENT', 'Store', 'VersionedObject', 'VirtualMachine', 'VmList']

ABSENT = 0
"""The version of an object that does not exist."""


class VersionedObject(NamedTuple):
    """An object of the store at one version.

    :param version: rises with each change of the store; ``ABSENT`` if there is none
    :param value: the bytes; empty if the object does not exist
    """

    key: str
    version: int
    value: bytes


class VirtualMachine(NamedTuple):
    """A VM as the platform lists it; the list lags.

    :param inner_address: ``IP:PORT`` of the daemon's inner address
    :param leaving: whether the platform has announced its end
    """

    name: str
    data_centre: str
    inner_address: str
    leaving: bool


class Store(Protocol):
    """The object store: versions, conditional updates and watches.

    Every call raises ``StoreUnavailableError`` when no answer came in time.
    """

    def get(self, key: str) -> VersionedObject:
        """Read one object; version ``ABSENT`` if it does not exist."""

    def scan(self, prefix: str) -> tuple[list[VersionedObject], int]:
        """Read all objects below ``prefix``, and the store's revision at that read."""

    def put(self, key: str, value: bytes, *, expected_version: int) -> int:
        """Write ``key`` if it is at version ``expected_version``; return the new version.

        :raises StoreConflictError: it is at another version
        """

    def delete(self, key: str, *, expected_version: int) -> int:
        """Delete ``key`` if it is at version ``expected_version``; return the revision."""

    def watch(
        self, prefix: str, after: int, timeout_s: float
    ) -> tuple[list[VersionedObject], int]:
        """Wait for changes past revision ``after``; an empty value means deleted."""


class VmList(Protocol):
    """The platform's lagging list of VMs."""

    def list(self) -> dict[str, VirtualMachine]:
        """Return the listed VMs by name."""
