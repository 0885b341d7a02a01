"""Data models of the administration API."""

from __future__ import annotations

from collections import abc
from typing import Any

import attrs

from tarragonlift.components.admin import const
from tarragonlift.components import cases as cases_module
from tarragonlift.components import configuration as configuration_module
from tarragonlift.components import data_centres as data_centres_module
from tarragonlift.components.data_path import server
from tarragonlift.components.metrics import recorder
from tarragonlift.components.peers import mesh as mesh_module
from tarragonlift.core import balancer as balancer_module
from tarragonlift import exceptions
from tarragonlift import settings


@attrs.frozen
class Context:
    """Parts of the daemon that the API shows and controls."""

    balancer: balancer_module.Balancer
    cases: cases_module.CaseManager
    configuration: configuration_module.ConfigurationManager
    data_centres: data_centres_module.DataCentreSynchronizer
    data_path: server.DataPath
    mesh: mesh_module.Mesh
    metrics: recorder.Recorder
    operators: tuple[settings.Operator, ...]
    is_ready: abc.Callable[[], bool]
    follow_replica: abc.Callable[[], None]


@attrs.frozen
class ApiRequest:
    """Request of an authenticated operator to the API."""

    operator: settings.Operator
    arguments: dict[str, str]
    query: dict[str, str]
    body: Any


@attrs.frozen
class ApiResponse:
    """Response of the API."""

    status: int
    document: Any


@attrs.define
class Operation:
    """Work that continues after the response to its request."""

    number: str
    state: str = const.OPERATION_RUNNING
    result: dict[str, Any] = attrs.field(factory=dict)

    def to_document(self) -> dict[str, Any]:
        """Return the operation as a JSON document."""
        return {
            "operation": self.number,
            "state": self.state,
            "result": self.result,
        }


def create_error_document(
    error: exceptions.TarragonliftError,
) -> dict[str, Any]:
    """Return an error as a JSON document with all its details."""
    document: dict[str, Any] = {
        "error": type(error).__name__,
        "advice": str(error) or (type(error).__doc__ or "").strip(),
    }
    if isinstance(error, exceptions.InvalidDocument):
        document["problems"] = [
            {
                "file": problem.file,
                "place": problem.place,
                "advice": problem.advice,
            }
            for problem in error.problems
        ]
    if isinstance(error, exceptions.ConfigurationConflict):
        document["version"] = error.version
        document["operator"] = error.operator
    return document
