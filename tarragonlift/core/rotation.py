"""Choosing peers in turns.

A list in random order is gone through before it is shuffled anew (as in SWIM,
Das and others, 2002), so that the time until a peer is chosen is bounded.
"""

from __future__ import annotations

from collections import abc
import random
from typing import Generic
from typing import TypeVar

ItemT = TypeVar("ItemT")


class Rotation(Generic[ItemT]):
    """Returns members of a changing group, each one in its turn."""

    def __init__(self, rng: random.Random) -> None:
        """Shuffle by this source of chance."""
        self._rng = rng
        self._turns: list[ItemT] = []

    def next(self, members: abc.Collection[ItemT]) -> ItemT | None:
        """Return the next member, None where there is none."""
        if not members:
            return None
        while True:
            if not self._turns:
                self._turns = list(members)
                self._rng.shuffle(self._turns)
            member = self._turns.pop()
            if member in members:
                return member
