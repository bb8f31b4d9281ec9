"""Property test: the replica never goes back, in whatever order news comes."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from coltsfootstair.store import Replica, Versioned

NEWS = st.lists(
    st.builds(
        lambda key, version: Versioned(
            key, version, b'' if version % 5 == 0 else b'%d' % version
        ),
        st.sampled_from(['config', 'tables/a/0', 'tables/b/0']),
        st.integers(1, 20),
    ),
    max_size=30,
)


class LastWordReplica(Replica):
    """Broken on purpose: takes whatever came last."""

    def _is_newer(self, item: Versioned) -> bool:
        return True


def _goes_back(replica: Replica, news: list[Versioned]) -> bool:
    seen: list[Versioned] = []
    replica.subscribe(seen.append)
    for item in news:
        replica.apply([item])
    by_key: dict[str, list[int]] = {}
    for item in seen:
        by_key.setdefault(item.key, []).append(item.version)
    return any(versions != sorted(set(versions)) for versions in by_key.values())


@given(NEWS)
def test_versions_never_go_back(news: list[Versioned]) -> None:
    assert not _goes_back(Replica(), news)


@given(NEWS)
def test_newest_word_wins(news: list[Versioned]) -> None:
    replica = Replica()
    replica.apply(news)
    newest: dict[str, Versioned] = {}
    for item in news:
        if item.version > newest.get(item.key, Versioned('', 0, b'')).version:
            newest[item.key] = item
    assert replica.version_by_key() == {key: item.version for key, item in newest.items()}
    assert replica.below('tables/') == [
        replica.get(key)
        for key in replica.version_by_key()
        if 'tables/' in key and newest[key].value
    ]


def test_the_property_catches_a_replica_that_goes_back() -> None:
    news = [Versioned('config', 2, b'2'), Versioned('config', 1, b'1')]
    assert _goes_back(LastWordReplica(), news)


@given(NEWS, st.integers(0, 20))
def test_news_past_a_version_is_each_newer_object_once_in_order(
    news: list[Versioned], version: int
) -> None:
    replica = Replica()
    for start in range(0, len(news), 4):
        replica.apply(news[start : start + 4])
    newest = {item.key: replica.get(item.key) for item in news}
    expected = [item for item in newest.values() if item.version > version]
    found = replica.newer_than(version)
    assert sorted(found) == sorted(expected)
    assert [item.version for item in found] == sorted(item.version for item in found)
