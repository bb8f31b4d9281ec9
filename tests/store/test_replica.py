"""Property tests: versions in the replica never decrease, in whatever order updates arrive."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from coltsfootstair.store import Replica, VersionedObject

# Each version that is divisible by 5 is a deletion.
UPDATES = st.lists(
    st.builds(
        lambda key, version: VersionedObject(
            key, version, b'' if version % 5 == 0 else b'%d' % version
        ),
        st.sampled_from(['config', 'tables/a/0', 'tables/b/0']),
        st.integers(1, 20),
    ),
    max_size=30,
)


class UnorderedReplica(Replica):
    """Broken on purpose: applies updates that are older than the known object too."""

    def _is_newer(self, item: VersionedObject) -> bool:
        return True


def _has_decreasing_version(replica: Replica, updates: list[VersionedObject]) -> bool:
    applied: list[VersionedObject] = []
    replica.subscribe(applied.append)
    for item in updates:
        replica.apply([item])
    by_key: dict[str, list[int]] = {}
    for item in applied:
        by_key.setdefault(item.key, []).append(item.version)
    return any(versions != sorted(set(versions)) for versions in by_key.values())


@given(UPDATES)
def test_versions_never_decrease(updates: list[VersionedObject]) -> None:
    assert not _has_decreasing_version(Replica(), updates)


@given(UPDATES)
def test_the_newest_version_is_kept(updates: list[VersionedObject]) -> None:
    replica = Replica()
    replica.apply(updates)
    newest: dict[str, VersionedObject] = {}
    for item in updates:
        if item.version > newest.get(item.key, VersionedObject('', 0, b'')).version:
            newest[item.key] = item
    assert replica.get_versions() == {key: item.version for key, item in newest.items()}
    assert replica.list_with_prefix('tables/') == [
        replica.get(key)
        for key in replica.get_versions()
        if 'tables/' in key and newest[key].value
    ]


def test_the_property_detects_decreasing_versions() -> None:
    updates = [VersionedObject('config', 2, b'2'), VersionedObject('config', 1, b'1')]
    assert _has_decreasing_version(UnorderedReplica(), updates)


@given(UPDATES, st.integers(0, 20))
def test_each_object_newer_than_a_version_is_listed_once_and_in_order(
    updates: list[VersionedObject], version: int
) -> None:
    replica = Replica()
    for start in range(0, len(updates), 4):
        replica.apply(updates[start : start + 4])
    newest = {item.key: replica.get(item.key) for item in updates}
    expected = [item for item in newest.values() if item.version > version]
    found = replica.list_newer_than(version)
    assert sorted(found) == sorted(expected)
    assert [item.version for item in found] == sorted(item.version for item in found)
