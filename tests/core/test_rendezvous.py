"""Tests for rendezvous hashing."""

from __future__ import annotations

import collections

from tarragonlift.core import rendezvous

NAMES = [f"entry-{number}" for number in range(20)]
KEYS = [f"10.0.0.{number}:80" for number in range(2000)]


class TestRank:
    """Keys are spread evenly and only necessary ones move."""

    def test_spreads_evenly(self) -> None:
        """Each of 20 members gets about 100 of 2000 keys."""
        members = rendezvous.hash_members(NAMES)
        counts = collections.Counter(
            rendezvous.find_owner(key, members) for key in KEYS
        )
        assert len(counts) == 20
        assert max(counts.values()) < 150
        assert min(counts.values()) > 60

    def test_only_the_keys_of_a_member_that_left_move(self) -> None:
        """The keys of all other members keep their owner."""
        before = rendezvous.hash_members(NAMES)
        after = rendezvous.hash_members(NAMES[1:])
        for key in KEYS:
            owner = rendezvous.find_owner(key, before)
            if owner != NAMES[0]:
                assert rendezvous.find_owner(key, after) == owner
