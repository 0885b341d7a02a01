"""What each path of the administration API does."""

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

Answer = models.ApiResponse
Request = models.ApiRequest


class Handlers:
    """The operations of the API on the parts of one daemon."""

    def __init__(self, context: models.Context) -> None:
        """Show and drive these parts."""
        self._context = context
        self._operations: collections.OrderedDict[str, models.Operation] = (
            collections.OrderedDict()
        )

    def get_daemon(self, request: Request) -> Answer:
        """Return what this daemon is and does."""
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
        return Answer(const.STATUS_OK, document)

    def get_configuration(self, request: Request) -> Answer:
        """Return the configuration in force here, and where it is not."""
        bundle = self._context.configuration.bundle
        version = self._context.balancer.version
        document = {
            "version": version,
            "digest": self._context.configuration.digest,
            "base": bundle.base if bundle else None,
            "overlays": bundle.overlays if bundle else {},
            "in_force": self._in_force(version),
        }
        return Answer(const.STATUS_OK, document)

    def push_configuration(self, request: Request) -> Answer:
        """Check and push a configuration; the operation tells the end."""
        body = schema.check(PUSH_SCHEMA, request.body, "body")
        bundle = config.Bundle(body["base"], body["overlays"])
        config.check_bundle(bundle)
        operation = self._begin()

        def done(result: int | exceptions.TarragonliftError) -> None:
            if isinstance(result, exceptions.TarragonliftError):
                _fail(operation, result)
            else:
                _complete(operation, {"version": result})

        self._context.configuration.push(
            body["push"],
            bundle,
            request.operator.name,
            body["if_version"],
            done,
        )
        return Answer(const.STATUS_ACCEPTED, operation.to_document())

    def get_history(self, request: Request) -> Answer:
        """Read the history of pushes; the operation tells it."""
        operation = self._begin()

        def done(
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

        self._context.configuration.read_history(done)
        return Answer(const.STATUS_ACCEPTED, operation.to_document())

    def get_operation(self, request: Request) -> Answer:
        """Return how far an operation is."""
        operation = self._operations.get(request.arguments["number"])
        if operation is None:
            raise exceptions.UnknownName("no operation has this number")
        return Answer(const.STATUS_OK, operation.to_document())

    def get_data_centres(self, request: Request) -> Answer:
        """Return the state of each data centre."""
        configuration = self._context.balancer.configuration
        names = configuration.data_centres if configuration else ()
        states = {
            item.name: item
            for item in self._context.balancer.replica.items(
                replica.KIND_DATA_CENTRE
            )
        }
        document = [_data_centre(name, states.get(name)) for name in names]
        return Answer(const.STATUS_OK, {"data_centres": document})

    def set_data_centre(self, request: Request) -> Answer:
        """Take a data centre out of service or back."""
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
        operation = self._begin()

        def done(
            found: data_centres.Confirmation | exceptions.NotConfirmed,
        ) -> None:
            if isinstance(found, exceptions.NotConfirmed):
                _fail(operation, found)
                return
            force = {
                "confirmed": len(found.confirmed),
                "daemons": len(found.confirmed) + len(found.missing),
                "behind": list(found.missing),
                "in_table": found.in_table,
            }
            state = _data_centre(name, item)
            _complete(operation, {**state, "in_force": force})

        self._context.data_centres.confirm(item, done)
        return Answer(const.STATUS_ACCEPTED, operation.to_document())

    def get_hosts(self, request: Request) -> Answer:
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
                "version": self._applied(item.name),
            }
            for item in balancer.replica.items(replica.KIND_MEMBER)
        ]
        document = {
            "daemons": daemons,
            "backend_servers": balancer.report(now),
        }
        return Answer(const.STATUS_OK, document)

    def get_held(self, request: Request) -> Answer:
        """Return the requests that are suspected of crashing servers."""
        balancer = self._context.balancer
        document = [
            {
                "fingerprint": one.fingerprint,
                "route": one.route,
                "crashes": one.crashes,
            }
            for one in balancer.crash_tracker.list_suspected()
        ]
        return Answer(const.STATUS_OK, {"held": document})

    def release_held(self, request: Request) -> Answer:
        """Let a request that was held back run again."""
        fingerprint = request.arguments["fingerprint"]
        balancer = self._context.balancer
        if not balancer.crash_tracker.clear(fingerprint):
            raise exceptions.UnknownName("no request has this fingerprint")
        detail = f"released by {request.operator.name}"
        kind = core_const.EVENT_REQUEST_HELD
        balancer.note(kind, fingerprint, detail, time.time())
        self._context.mesh.spread_changes()
        return Answer(const.STATUS_OK, {"released": fingerprint})

    def get_cases(self, request: Request) -> Answer:
        """Read all cases; the operation tells them."""
        operation = self._begin()

        def done(
            rows: list[interfaces.Row] | exceptions.PlatformError,
        ) -> None:
            if isinstance(rows, exceptions.PlatformError):
                _fail(operation, rows)
                return
            prefix = cases_const.ROW_PREFIX
            found = [
                {"case": row.key.removeprefix(prefix), **(row.value or {})}
                for row in rows
            ]
            _complete(operation, {"cases": found})

        self._context.cases.read_rows(done)
        return Answer(const.STATUS_ACCEPTED, operation.to_document())

    def get_case(self, request: Request) -> Answer:
        """Read the text of a case; the operation tells it."""
        operation = self._begin()

        def done(data: bytes | None | exceptions.PlatformError) -> None:
            if isinstance(data, exceptions.PlatformError):
                _fail(operation, data)
            elif data is None:
                error = exceptions.UnknownName("no case has this number")
                _fail(operation, error)
            else:
                _complete(operation, orjson.loads(data))

        self._context.cases.read_case(request.arguments["case"], done)
        return Answer(const.STATUS_ACCEPTED, operation.to_document())

    def set_case(self, request: Request) -> Answer:
        """Take or close a case; the operation tells the end."""
        body = schema.check(CASE_SCHEMA, request.body, "body")
        operation = self._begin()

        def done(
            found: dict[str, Any] | exceptions.TarragonliftError,
        ) -> None:
            if isinstance(found, exceptions.TarragonliftError):
                _fail(operation, found)
            else:
                _complete(operation, found)

        self._context.cases.set_state(
            request.arguments["case"],
            body["state"],
            request.operator.name,
            done,
        )
        return Answer(const.STATUS_ACCEPTED, operation.to_document())

    def get_timeline(self, request: Request) -> Answer:
        """Return this daemon's events."""
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
        return Answer(const.STATUS_OK, document)

    def _begin(self) -> models.Operation:
        """Return a new operation."""
        operation = models.Operation(secrets.token_hex(8))
        self._operations[operation.number] = operation
        while len(self._operations) > const.MAX_OPERATIONS:
            self._operations.popitem(last=False)
        return operation

    def _in_force(self, version: int) -> dict[str, Any]:
        """Return which live daemons have confirmed the version."""
        alive = self._context.balancer.membership.alive_daemons(
            time.monotonic()
        )
        behind = [
            daemon for daemon in alive if self._applied(daemon) < version
        ]
        return {
            "confirmed": len(alive) - len(behind),
            "daemons": len(alive),
            "behind": behind,
        }

    def _applied(self, daemon: str) -> int:
        """Return the version that a daemon has told to be in force."""
        item = self._context.balancer.replica.get(replica.KIND_APPLIED, daemon)
        return int(item.value["version"]) if item else 0


@attrs.frozen
class _NoItem:
    """Stands for a data centre whose state was never changed."""

    value: dict[str, Any] = attrs.field(factory=dict)
    version: int = 0


def _data_centre(name: str, item: replica.Item | None) -> dict[str, Any]:
    """Return the state of a data centre as plain data."""
    known = item or _NoItem()
    in_service = core_const.DataCentreState.IN_SERVICE.value
    return {
        "name": name,
        "state": known.value.get("state", in_service),
        "since": known.value.get("at"),
        "version": known.version,
    }


def _complete(operation: models.Operation, result: dict[str, Any]) -> None:
    """End an operation well."""
    operation.state = const.OPERATION_DONE
    operation.result = result


def _fail(
    operation: models.Operation, error: exceptions.TarragonliftError
) -> None:
    """End an operation with an error."""
    operation.state = const.OPERATION_FAILED
    operation.result = models.error_document(error)
