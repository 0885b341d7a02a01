"""Rendezvous hashing (Thaler and Ravishankar, 1998).

Every daemon ranks the members for a key in the same way, so the daemons agree
on responsibilities without messages. When a member leaves, only its own keys
move. Names are hashed once; the weight of a pair mixes the two hashes by
multiplication (Knuth, The Art of Computer Programming, volume 3, 6.4).
"""

from __future__ import annotations

from collections import abc

import xxhash

MASK_64_BITS = (1 << 64) - 1
MULTIPLIER = 0x9E3779B97F4A7C15

HashedMembers = list[tuple[int, str]]


def hash_members(members: abc.Iterable[str]) -> HashedMembers:
    """Return the members with their hashes, for reuse in rankings."""
    return [(xxhash.xxh64_intdigest(name), name) for name in members]


def find_owner(key: str, members: HashedMembers) -> str:
    """Return the member that is responsible for the key."""
    return rank(key, members, 1)[0]


def rank(key: str, members: HashedMembers, count: int) -> list[str]:
    """Return the first ``count`` members for the key, best rank first."""
    key_hash = xxhash.xxh64_intdigest(key)
    # The high half of the product depends on all bits of both hashes.
    weighted = [
        (((key_hash ^ member_hash) * MULTIPLIER & MASK_64_BITS) >> 32, name)
        for member_hash, name in members
    ]
    weighted.sort()
    return [name for _, name in weighted[:count]]
