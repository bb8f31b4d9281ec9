"""HTTP client of the platform's object store and VM list."""

from __future__ import annotations

import http.client
import threading
import urllib.parse
from typing import TYPE_CHECKING, NamedTuple, TypedDict, TypeVar

import msgpack
import msgspec

from coltsfootstair.errors import (
    RevisionTooOldError,
    StoreConflictError,
    StoreUnavailableError,
)
from coltsfootstair.store._types import ABSENT, VersionedObject, VirtualMachine

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ['HttpStore', 'StoreIdentity']

T = TypeVar('T')

CALL_TIMEOUT_S = 2.0
"""Timeout of a call, for a watch in addition to the time that it waits."""

STATUS_GONE = 410
STATUS_CONFLICT = 409
STATUS_NOT_FOUND = 404
STATUS_OK = 200


class StoreIdentity(NamedTuple):
    """What the headers of each call tell about the daemon, for the platform's list of VMs.

    :param name: name of the VM
    :param inner: ``IP:PORT`` on which other daemons reach the daemon
    """

    name: str
    data_centre: str
    inner: str


class _Listing(TypedDict):
    """Body of the answer to a scan or watch."""

    revision: int
    objects: list[tuple[str, int, bytes]]


# Name, data centre, inner address and whether the VM is leaving.
_VmEntries = list[tuple[str, str, str, bool]]


class _Reply(NamedTuple):
    status: int
    version: int
    body: bytes


class HttpStore:
    """Client of the object store and VM list; each calling thread has its own connection."""

    def __init__(self, url: str, identity: StoreIdentity) -> None:
        parts = urllib.parse.urlsplit(url)
        self._host = parts.hostname or ''
        self._port = parts.port or 80
        self._headers = {
            'Platform-Vm': identity.name,
            'Platform-Data-Centre': identity.data_centre,
            'Platform-Inner': identity.inner,
        }
        self._thread_local = threading.local()

    def get(self, key: str) -> VersionedObject:
        """Read one object; its version is ``ABSENT`` if it does not exist."""
        reply = self._call('GET', _object_path(key))
        if reply.status == STATUS_NOT_FOUND:
            return VersionedObject(key, ABSENT, b'')
        _expect_ok(reply)
        return VersionedObject(key, reply.version, reply.body)

    def scan(self, prefix: str) -> tuple[list[VersionedObject], int]:
        """Read all objects whose key starts with ``prefix``, and the store's revision."""
        query = urllib.parse.urlencode({'prefix': prefix})
        reply = self._call('GET', f'/objects?{query}')
        _expect_ok(reply)
        return _parse_listing(reply.body)

    def put(self, key: str, value: bytes, *, expected_version: int) -> int:
        """Write ``key`` if it is at version ``expected_version``; return the new version."""
        return self._write('PUT', key, value, expected_version)

    def delete(self, key: str, *, expected_version: int) -> int:
        """Delete ``key`` if it is at version ``expected_version``; return the new revision."""
        return self._write('DELETE', key, b'', expected_version)

    def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> tuple[list[VersionedObject], int]:
        """Wait for changes after a revision; an object with an empty value is deleted.

        :raises RevisionTooOldError: the store no longer has the changes after
            ``after_revision``
        """
        query = urllib.parse.urlencode(
            {'prefix': prefix, 'after': after_revision, 'timeout_ms': int(timeout_s * 1000)}
        )
        reply = self._call('GET', f'/watch?{query}', wait_s=timeout_s)
        if reply.status == STATUS_GONE:
            raise RevisionTooOldError('the store no longer has the requested changes')
        _expect_ok(reply)
        return _parse_listing(reply.body)

    def list(self) -> dict[str, VirtualMachine]:
        """Return the listed VMs by name."""
        reply = self._call('GET', '/vms')
        _expect_ok(reply)
        entries = _decode(reply.body, _VmEntries)
        return {entry[0]: VirtualMachine(*entry) for entry in entries}

    def _write(self, method: str, key: str, value: bytes, expected_version: int) -> int:
        headers = {'Expected-Version': str(expected_version)}
        reply = self._call(method, _object_path(key), value, headers)
        if reply.status in (STATUS_CONFLICT, STATUS_NOT_FOUND):
            raise StoreConflictError(
                f'{key} is at version {reply.version}, not {expected_version}'
            )
        _expect_ok(reply)
        return reply.version

    def _call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        headers: Mapping[str, str] | None = None,
        wait_s: float = 0.0,
    ) -> _Reply:
        connection = self._get_connection(CALL_TIMEOUT_S + wait_s)
        try:
            connection.request(
                method, path, body or None, {**self._headers, **(headers or {})}
            )
            response = connection.getresponse()
            answer_body = response.read()
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            raise StoreUnavailableError(f'the store gave no answer: {error}') from None
        return _Reply(response.status, int(response.getheader('Version', '0')), answer_body)

    def _get_connection(self, timeout_s: float) -> http.client.HTTPConnection:
        connection: http.client.HTTPConnection | None = getattr(
            self._thread_local, 'connection', None
        )
        if connection is None:
            connection = http.client.HTTPConnection(self._host, self._port)
            self._thread_local.connection = connection
        connection.timeout = timeout_s
        if connection.sock is not None:
            connection.sock.settimeout(timeout_s)
        return connection


def _object_path(key: str) -> str:
    return '/objects/' + urllib.parse.quote(key)


def _expect_ok(reply: _Reply) -> None:
    if reply.status != STATUS_OK:
        raise StoreUnavailableError(f'the store answered with status {reply.status}')


def _parse_listing(body: bytes) -> tuple[list[VersionedObject], int]:
    listing = _decode(body, _Listing)
    return [VersionedObject(*entry) for entry in listing['objects']], listing['revision']


def _decode(body: bytes, expected: type[T]) -> T:
    try:
        return msgspec.convert(msgpack.unpackb(body), expected)
    except (ValueError, msgpack.UnpackException, msgspec.ValidationError) as error:
        raise StoreUnavailableError(f'the store sent a malformed answer: {error}') from None
