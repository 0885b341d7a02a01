"""What a platform's header fields and statuses mean, as an interface."""

from __future__ import annotations

import abc

from tarragonlift.components.data_path import caller
from tarragonlift.components.data_path import client
from tarragonlift.core.fleet import delivery
from tarragonlift.core.fleet import models


class Dialect(abc.ABC):
    """Reads and writes the fields by which callers and servers speak."""

    @property
    @abc.abstractmethod
    def rewritten_fields(self) -> frozenset[bytes]:
        """Return the fields, in lower case, that are written anew."""

    @property
    @abc.abstractmethod
    def readiness_path(self) -> str:
        """Return the path at which the platform asks for readiness."""

    @abc.abstractmethod
    def request_id(self, head: caller.RequestHead) -> str:
        """Return the caller's identifier of the request, or nothing."""

    @abc.abstractmethod
    def time_left_s(self, head: caller.RequestHead) -> float | None:
        """Return how many seconds the caller will wait."""

    @abc.abstractmethod
    def server_request_fields(
        self, server_id: str, time_left_s: float
    ) -> bytes:
        """Return the header lines for a server: who is meant, time left."""

    @abc.abstractmethod
    def refusal_fields(
        self, request_id: str, retry_after_s: float
    ) -> dict[str, object]:
        """Return the fields of an answer made by tarragonlift itself."""

    @abc.abstractmethod
    def is_response_to(
        self, head: client.ResponseHead, request_id: str
    ) -> bool:
        """Return whether the answer is one to this request."""

    @abc.abstractmethod
    def classify_response(self, head: client.ResponseHead) -> delivery.Verdict:
        """Return what a whole answer with this head says."""

    @abc.abstractmethod
    def load_report(
        self, head: client.ResponseHead
    ) -> models.LoadReport | None:
        """Return the load that rides on an answer."""

    @abc.abstractmethod
    def is_health_response(self, head: client.ResponseHead) -> bool:
        """Return whether the answer is one to a health check."""

    @abc.abstractmethod
    def health_report(self, head: client.ResponseHead) -> models.Health:
        """Return what the answer to a health check says."""
