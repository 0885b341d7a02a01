"""Interface for the meaning of a platform's header fields and statuses."""

from __future__ import annotations

import abc

from tarragonlift.components.data_path import caller
from tarragonlift.components.data_path import client
from tarragonlift.core.fleet import delivery
from tarragonlift.core.fleet import models


class Dialect(abc.ABC):
    """Reads and writes the header fields of callers and servers."""

    @property
    @abc.abstractmethod
    def rewritten_fields(self) -> frozenset[bytes]:
        """Return the names, in lower case, of fields that are replaced."""

    @property
    @abc.abstractmethod
    def readiness_path(self) -> str:
        """Return the path of the platform's readiness check."""

    @abc.abstractmethod
    def request_id(self, head: caller.RequestHead) -> str:
        """Return the caller's identifier of the request, or an empty text."""

    @abc.abstractmethod
    def time_left_s(self, head: caller.RequestHead) -> float | None:
        """Return how many seconds the caller will wait; None if not given."""

    @abc.abstractmethod
    def server_request_fields(
        self, server_id: str, time_left_s: float
    ) -> bytes:
        """Return header lines with the target server and the time left."""

    @abc.abstractmethod
    def refusal_fields(
        self, request_id: str, retry_after_s: float
    ) -> dict[str, object]:
        """Return the header fields of a response made by tarragonlift."""

    @abc.abstractmethod
    def is_response_to(
        self, head: client.ResponseHead, request_id: str, is_reused: bool
    ) -> bool:
        """Return whether the response answers the request with this id.

        ``is_reused``: the connection carried an earlier request, so that a
        response may be a copy of an earlier one.
        """

    @abc.abstractmethod
    def classify_response(self, head: client.ResponseHead) -> delivery.Verdict:
        """Return what a complete response with this head means."""

    @abc.abstractmethod
    def load_report(
        self, head: client.ResponseHead
    ) -> models.LoadReport | None:
        """Return the load reported in a response; None without one."""

    @abc.abstractmethod
    def rate_limit(self, head: client.ResponseHead) -> float | None:
        """Return the stated requests per second; infinity if none is stated.

        None stands for a malformed value.
        """

    @abc.abstractmethod
    def says_leaving(self, head: client.ResponseHead) -> bool:
        """Return whether the server says that it leaves."""

    @abc.abstractmethod
    def pause_s(self, head: client.ResponseHead) -> float | None:
        """Return the seconds for which the server wants nothing, 0 for none.

        None stands for a malformed value.
        """

    @abc.abstractmethod
    def is_health_response(self, head: client.ResponseHead) -> bool:
        """Return whether the response answers a health check."""

    @abc.abstractmethod
    def health_report(self, head: client.ResponseHead) -> models.Health:
        """Return the health reported by a response to a health check."""
