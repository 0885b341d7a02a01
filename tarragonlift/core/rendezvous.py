"""Agreeing on who does what without a message.

Rendezvous hashing (Thaler and Ravishankar, 1998): every daemon ranks the
members for a key the same way; a member that leaves moves only its own keys.
"""

from __future__ import annotations

from collections import abc

import xxhash


def rank(key: str, members: abc.Iterable[str]) -> list[str]:
    """Return the members, the first one being responsible for the key."""
    return sorted(members, key=lambda member: (_weight(key, member), member))


def _weight(key: str, member: str) -> int:
    """Return the weight of a member for the key."""
    return xxhash.xxh64_intdigest(f"{key}\0{member}")
