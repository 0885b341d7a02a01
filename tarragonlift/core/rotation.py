"""Randomized round-robin selection of peers.

A shuffled list is used up before it is shuffled again (as in SWIM, Das et al.,
2002), so that the time until a given peer is selected is bounded.
"""

from __future__ import annotations

from collections import abc
import random
from typing import Generic
from typing import TypeVar

ItemT = TypeVar("ItemT")


class Rotation(Generic[ItemT]):
    """Selects members of a changing group in randomized round robin."""

    def __init__(self, rng: random.Random) -> None:
        """Initialize the rotation with a random number generator."""
        self._rng = rng
        self._remaining: list[ItemT] = []

    def next(self, members: abc.Collection[ItemT]) -> ItemT | None:
        """Return the next member, or None if there are no members."""
        if not members:
            return None
        while True:
            if not self._remaining:
                self._remaining = list(members)
                self._rng.shuffle(self._remaining)
            member = self._remaining.pop()
            if member in members:
                return member
