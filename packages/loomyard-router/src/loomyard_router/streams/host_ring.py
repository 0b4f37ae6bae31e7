"""Consistent hashing of streams to the routers that host their records."""

from __future__ import annotations

from bisect import bisect_right
from functools import lru_cache
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from loomyard_router.members.membership import Member

POINT_BYTES = 8
DIGEST_BYTES = 64
# Two digests of eight points each even out the number of records that the routers host.
DIGESTS = 2
MAX_CACHED_NAMES = 1024


class HostRing:
    """Routers on a ring of hashes; a choice takes the same time in a fleet of any size.

    A router that joins or leaves changes the hosts of few streams.
    """

    def __init__(self) -> None:
        self._points: list[int] = []
        self._names: list[str] = []
        self._data_centres: dict[str, str] = {}
        self._data_centre_count = 0

    def update(self, members: Iterable[Member]) -> None:
        """Replace the routers."""
        self._data_centres = {member.name: member.data_centre for member in members}
        self._data_centre_count = len(set(self._data_centres.values()))
        ring = sorted((point, name) for name in self._data_centres for point in _points_of(name))
        self._points = [point for point, _ in ring]
        self._names = [name for _, name in ring]

    def choose(self, key: str, count: int) -> list[str]:
        """Return the first routers for a key, in as many data centres as possible.

        The choice of fewer routers is the beginning of that of more.
        """
        wanted = min(count, self._data_centre_count)
        spread: dict[str, str] = {}
        others: list[str] = []
        for name in self._walk(key):
            data_centre = self._data_centres[name]
            if data_centre in spread:
                others.append(name)
            else:
                spread[data_centre] = name
            if len(spread) >= wanted and len(spread) + len(others) >= count:
                break
        return [*spread.values(), *others][:count]

    def _walk(self, key: str) -> Iterator[str]:
        """Yield the routers in the order of their points after that of a key."""
        digest = blake2b(key.encode(), digest_size=POINT_BYTES).digest()
        start = bisect_right(self._points, int.from_bytes(digest, "big"))
        seen = set()
        for offset in range(len(self._names)):
            name = self._names[(start + offset) % len(self._names)]
            if name not in seen:
                seen.add(name)
                yield name


@lru_cache(maxsize=MAX_CACHED_NAMES)
def _points_of(name: str) -> tuple[int, ...]:
    points = []
    for number in range(DIGESTS):
        digest = blake2b(f"{number} {name}".encode(), digest_size=DIGEST_BYTES).digest()
        for at in range(0, DIGEST_BYTES, POINT_BYTES):
            points.append(int.from_bytes(digest[at : at + POINT_BYTES], "big"))
    return tuple(points)
