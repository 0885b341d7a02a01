"""Handlers of the routes of the administration API."""

from __future__ import annotations

import collections
import secrets
import time
from typing import Any

import attrs
import orjson
import voluptuous as vol

from tarragonlift.components.admin import const
from tarragonlift.components.admin import models
from tarragonlift.components.cases import const as cases_const
from tarragonlift.components.configuration import const as configuration_const
from tarragonlift.components import data_centres
from tarragonlift import config
from tarragonlift.core import const as core_const
from tarragonlift.core import interfaces
from tarragonlift.core import replica
from tarragonlift import exceptions
from tarragonlift.helpers import schema

PUSH_SCHEMA = vol.Schema(
    {
        vol.Required("push"): vol.All(str, vol.Length(min=8, max=64)),
        vol.Required("if_version"): schema.NonNegativeInt,
        vol.Required("base"): str,
        vol.Optional("overlays", default=dict): {schema.Name: str},
    }
)
STATE_SCHEMA = vol.Schema(
    {
        vol.Required("state"): vol.In(
            [state.value for state in core_const.DataCentreState]
        ),
        vol.Required("if_version"): schema.NonNegativeInt,
        vol.Optional("force", default=False): bool,
    }
)

CASE_SCHEMA = vol.Schema({vol.Required("state"): vol.In(cases_const.STATES)})

Response = models.ApiResponse
Request = models.ApiRequest


class Handlers:
    """Handlers of the API for the parts of a daemon."""

    def __init__(self, context: models.Context) -> None:
        """Initialize the handlers without operations."""
        self._context = context
        self._operations: collections.OrderedDict[str, models.Operation] = (
            collections.OrderedDict()
        )

    def get_daemon(self, request: Request) -> Response:
        """Return the identity, state and metrics of this daemon."""
        context = self._context
        balancer = context.balancer
        document = {
            "daemon": balancer.identity.daemon,
            "data_centre": balancer.identity.data_centre,
            "ready": context.is_ready(),
            "version": balancer.version,
            "digest": context.configuration.digest,
            "in_progress": context.data_path.in_progress,
            "claims": {
                "transactions": balancer.claims.transactions,
                "operations": balancer.claims.operations,
                "orphans": balancer.claims.orphan_count,
            },
            "control_bytes_sent": context.mesh.bytes_sent,
            "counters": context.metrics.totals,
            "gauges": context.metrics.gauges,
        }
        return Response(const.STATUS_OK, document)

    def get_configuration(self, request: Request) -> Response:
        """Return the configuration in force and the daemons without it."""
        bundle = self._context.configuration.bundle
        version = self._context.balancer.version
        document = {
            "version": version,
            "digest": self._context.configuration.digest,
            "base": bundle.base if bundle else None,
            "overlays": bundle.overlays if bundle else {},
            "in_force": self._create_in_force_document(version),
        }
        return Response(const.STATUS_OK, document)

    def push_configuration(self, request: Request) -> Response:
        """Validate and push a configuration in a new operation."""
        body = schema.check(PUSH_SCHEMA, request.body, "body")
        bundle = config.Bundle(body["base"], body["overlays"])
        config.check_bundle(bundle)
        operation = self._create_operation()

        def on_pushed(result: int | exceptions.TarragonliftError) -> None:
            if isinstance(result, exceptions.TarragonliftError):
                _fail(operation, result)
            else:
                _complete(operation, {"version": result})

        self._context.configuration.push(
            body["push"],
            bundle,
            request.operator.name,
            body["if_version"],
            on_pushed,
        )
        return Response(const.STATUS_ACCEPTED, operation.to_document())

    def get_history(self, request: Request) -> Response:
        """Read the history of pushes in a new operation."""
        operation = self._create_operation()

        def on_rows(
            rows: list[interfaces.Row] | exceptions.PlatformError,
        ) -> None:
            if isinstance(rows, exceptions.PlatformError):
                _fail(operation, rows)
                return
            prefix = configuration_const.HISTORY_PREFIX
            history = [
                {"version": int(row.key.removeprefix(prefix)), **row.value}
                for row in rows
                if row.value
            ]
            _complete(operation, {"history": history})

        self._context.configuration.read_history(on_rows)
        return Response(const.STATUS_ACCEPTED, operation.to_document())

    def get_operation(self, request: Request) -> Response:
        """Return the state and the result of an operation."""
        operation = self._operations.get(request.arguments["number"])
        if operation is None:
            raise exceptions.UnknownName("no operation has this number")
        return Response(const.STATUS_OK, operation.to_document())

    def get_data_centres(self, request: Request) -> Response:
        """Return the state of each data centre."""
        configuration = self._context.balancer.configuration
        names = configuration.data_centres if configuration else ()
        states = {
            item.name: item
            for item in self._context.balancer.replica.items(
                replica.KIND_DATA_CENTRE
            )
        }
        document = [
            _create_state_document(name, states.get(name)) for name in names
        ]
        return Response(const.STATUS_OK, {"data_centres": document})

    def set_data_centre(self, request: Request) -> Response:
        """Take a data centre out of service or back into service."""
        body = schema.check(STATE_SCHEMA, request.body, "body")
        name = request.arguments["name"]
        balancer = self._context.balancer
        configuration = balancer.configuration
        if configuration is None or name not in configuration.data_centres:
            raise exceptions.UnknownName("no data centre has this name")
        state = core_const.DataCentreState(body["state"])
        if state is core_const.DataCentreState.OUT and not body["force"]:
            balancer.check_capacity_without(name)
        item = balancer.set_data_centre(
            name, state, body["if_version"], time.time()
        )
        detail = f"{state.value} by {request.operator.name}"
        balancer.note(core_const.EVENT_DATA_CENTRE, name, detail, time.time())
        self._context.mesh.spread_changes()
        self._context.data_centres.sync()
        operation = self._create_operation()

        def on_confirmed(
            result: data_centres.Confirmation | exceptions.NotConfirmed,
        ) -> None:
            if isinstance(result, exceptions.NotConfirmed):
                _fail(operation, result)
                return
            in_force = {
                "confirmed": len(result.confirmed),
                "daemons": len(result.confirmed) + len(result.missing),
                "behind": list(result.missing),
                "in_table": result.in_table,
            }
            state = _create_state_document(name, item)
            _complete(operation, {**state, "in_force": in_force})

        self._context.data_centres.confirm(item, on_confirmed)
        return Response(const.STATUS_ACCEPTED, operation.to_document())

    def get_hosts(self, request: Request) -> Response:
        """Return the daemons and the backend servers."""
        balancer = self._context.balancer
        now = time.monotonic()
        alive = set(balancer.membership.alive_daemons(now))
        daemons = [
            {
                "daemon": item.name,
                "alive": item.name in alive,
                "data_centre": item.value["data_centre"],
                "peer": item.value["address"],
                "admin": item.value["admin"],
                "version": self._get_applied_version(item.name),
            }
            for item in balancer.replica.items(replica.KIND_MEMBER)
        ]
        document = {
            "daemons": daemons,
            "backend_servers": balancer.report(now),
        }
        return Response(const.STATUS_OK, document)

    def get_held(self, request: Request) -> Response:
        """Return the requests that are suspected of crashing servers."""
        balancer = self._context.balancer
        document = [
            {
                "fingerprint": suspected.fingerprint,
                "route": suspected.route,
                "crashes": suspected.crashes,
            }
            for suspected in balancer.crash_tracker.list_suspected()
        ]
        return Response(const.STATUS_OK, {"held": document})

    def release_held(self, request: Request) -> Response:
        """Allow a request suspected of crashing servers to run again."""
        fingerprint = request.arguments["fingerprint"]
        balancer = self._context.balancer
        if not balancer.crash_tracker.clear(fingerprint):
            raise exceptions.UnknownName("no request has this fingerprint")
        detail = f"released by {request.operator.name}"
        kind = core_const.EVENT_REQUEST_HELD
        balancer.note(kind, fingerprint, detail, time.time())
        self._context.mesh.spread_changes()
        return Response(const.STATUS_OK, {"released": fingerprint})

    def get_cases(self, request: Request) -> Response:
        """Read all cases in a new operation."""
        operation = self._create_operation()

        def on_rows(
            rows: list[interfaces.Row] | exceptions.PlatformError,
        ) -> None:
            if isinstance(rows, exceptions.PlatformError):
                _fail(operation, rows)
                return
            prefix = cases_const.ROW_PREFIX
            case_list = [
                {"case": row.key.removeprefix(prefix), **(row.value or {})}
                for row in rows
            ]
            _complete(operation, {"cases": case_list})

        self._context.cases.read_rows(on_rows)
        return Response(const.STATUS_ACCEPTED, operation.to_document())

    def get_case(self, request: Request) -> Response:
        """Read a case and its text in a new operation."""
        operation = self._create_operation()

        def on_object(data: bytes | None | exceptions.PlatformError) -> None:
            if isinstance(data, exceptions.PlatformError):
                _fail(operation, data)
            elif data is None:
                error = exceptions.UnknownName("no case has this number")
                _fail(operation, error)
            else:
                _complete(operation, orjson.loads(data))

        self._context.cases.read_case(request.arguments["case"], on_object)
        return Response(const.STATUS_ACCEPTED, operation.to_document())

    def set_case(self, request: Request) -> Response:
        """Set the state of a case in a new operation."""
        body = schema.check(CASE_SCHEMA, request.body, "body")
        operation = self._create_operation()

        def on_state_set(
            result: dict[str, Any] | exceptions.TarragonliftError,
        ) -> None:
            if isinstance(result, exceptions.TarragonliftError):
                _fail(operation, result)
            else:
                _complete(operation, result)

        self._context.cases.set_state(
            request.arguments["case"],
            body["state"],
            request.operator.name,
            on_state_set,
        )
        return Response(const.STATUS_ACCEPTED, operation.to_document())

    def get_timeline(self, request: Request) -> Response:
        """Return the events of this daemon's timeline."""
        query = request.query
        since = query.get("since_ms", "0")
        if not since.isdigit():
            problem = exceptions.Problem(
                "query", "since_ms", "not a whole number; correct it"
            )
            raise exceptions.InvalidDocument([problem])
        events = self._context.balancer.timeline.events(
            int(since), query.get("kind", ""), query.get("subject", "")
        )
        document = {"events": [event.to_document() for event in events]}
        return Response(const.STATUS_OK, document)

    def _create_operation(self) -> models.Operation:
        """Add a new operation and forget the oldest ones."""
        operation = models.Operation(secrets.token_hex(8))
        self._operations[operation.number] = operation
        while len(self._operations) > const.MAX_OPERATIONS:
            self._operations.popitem(last=False)
        return operation

    def _create_in_force_document(self, version: int) -> dict[str, Any]:
        """Return which live daemons have announced the version as applied."""
        alive = self._context.balancer.membership.alive_daemons(
            time.monotonic()
        )
        behind = [
            daemon
            for daemon in alive
            if self._get_applied_version(daemon) < version
        ]
        return {
            "confirmed": len(alive) - len(behind),
            "daemons": len(alive),
            "behind": behind,
        }

    def _get_applied_version(self, daemon: str) -> int:
        """Return the version that a daemon has announced as applied."""
        item = self._context.balancer.replica.get(replica.KIND_APPLIED, daemon)
        return int(item.value["version"]) if item else 0


@attrs.frozen
class _InitialItem:
    """Placeholder for a data centre whose state was never changed."""

    value: dict[str, Any] = attrs.field(factory=dict)
    version: int = 0


def _create_state_document(
    name: str, item: replica.Item | None
) -> dict[str, Any]:
    """Return the state of a data centre as a JSON document."""
    current = item or _InitialItem()
    in_service = core_const.DataCentreState.IN_SERVICE.value
    return {
        "name": name,
        "state": current.value.get("state", in_service),
        "since": current.value.get("at"),
        "version": current.version,
    }


def _complete(operation: models.Operation, result: dict[str, Any]) -> None:
    """Mark an operation as done with its result."""
    operation.state = const.OPERATION_DONE
    operation.result = result


def _fail(
    operation: models.Operation, error: exceptions.TarragonliftError
) -> None:
    """Mark an operation as failed with its error."""
    operation.state = const.OPERATION_FAILED
    operation.result = models.create_error_document(error)
