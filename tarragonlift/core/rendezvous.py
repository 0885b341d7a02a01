"""Agreeing on who does what without a message.

Rendezvous hashing (Thaler and Ravishankar, 1998): every daemon ranks the
members for a key the same way; a member that leaves moves only its own keys.
Names are hashed once; the weight of a pair mixes the two hashes by a
multiplication (Knuth, The Art of Computer Programming, volume 3, 6.4).
"""

from __future__ import annotations

from collections import abc

import xxhash

MASK = (1 << 64) - 1
MULTIPLIER = 0x9E3779B97F4A7C15

Hashed = list[tuple[int, str]]


def hash_members(members: abc.Iterable[str]) -> Hashed:
    """Return the members with their hashes, for many rankings."""
    return [(xxhash.xxh64_intdigest(name), name) for name in members]


def find_owner(key: str, members: Hashed) -> str:
    """Return the member that is responsible for the key."""
    return rank(key, members, 1)[0]


def rank(key: str, members: Hashed, count: int) -> list[str]:
    """Return the first members for the key, the responsible one first."""
    own = xxhash.xxh64_intdigest(key)
    # The high half of the product depends on all bits of both hashes.
    weighed = [
        (((own ^ hashed) * MULTIPLIER & MASK) >> 32, name)
        for hashed, name in members
    ]
    weighed.sort()
    return [name for _, name in weighed[:count]]
