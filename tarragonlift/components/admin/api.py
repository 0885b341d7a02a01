"""The administration API on ``circuits.web``: paths, roles and errors."""

from __future__ import annotations

from collections import abc
import hashlib
import hmac
import re
from typing import Any
import urllib.parse

import attrs
import circuits
import orjson

from tarragonlift.components.admin import const
from tarragonlift.components.admin import handlers as handlers_module
from tarragonlift.components.admin import models
from tarragonlift.components import logs
from tarragonlift import exceptions
from tarragonlift import settings

READ = settings.ROLE_READ
OPERATE = settings.ROLE_OPERATE
CONFIGURE = settings.ROLE_CONFIGURE

STATUS_BY_ERROR: tuple[tuple[type[exceptions.TarragonliftError], int], ...]
STATUS_BY_ERROR = (
    (exceptions.InvalidDocument, const.STATUS_BAD_REQUEST),
    (exceptions.UnknownName, const.STATUS_NOT_FOUND),
    (exceptions.ConfigurationConflict, const.STATUS_CONFLICT),
    (exceptions.CapacityShort, const.STATUS_CONFLICT),
    (exceptions.DataCentreConflict, const.STATUS_CONFLICT),
    (exceptions.CaseConflict, const.STATUS_CONFLICT),
    (exceptions.NotAuthorized, const.STATUS_FORBIDDEN),
)


@attrs.frozen
class Route:
    """Method and path of the API with the role they need."""

    method: str
    path: str
    role: str
    handler: abc.Callable[[models.ApiRequest], models.ApiResponse]
    pattern: re.Pattern[str]


def create_routes(handlers: handlers_module.Handlers) -> tuple[Route, ...]:
    """Return all routes of the API."""
    table = (
        ("GET", "/daemon", READ, handlers.get_daemon),
        ("GET", "/configuration", READ, handlers.get_configuration),
        ("POST", "/configuration", CONFIGURE, handlers.push_configuration),
        ("GET", "/configuration/history", READ, handlers.get_history),
        ("GET", "/operations/{number}", READ, handlers.get_operation),
        ("GET", "/data-centres", READ, handlers.get_data_centres),
        ("PUT", "/data-centres/{name}", OPERATE, handlers.set_data_centre),
        ("GET", "/hosts", READ, handlers.get_hosts),
        ("GET", "/held", READ, handlers.get_held),
        ("DELETE", "/held/{fingerprint}", OPERATE, handlers.release_held),
        ("GET", "/cases", READ, handlers.get_cases),
        ("GET", "/cases/{case}", READ, handlers.get_case),
        ("PUT", "/cases/{case}", OPERATE, handlers.set_case),
        ("GET", "/timeline", READ, handlers.get_timeline),
    )
    return tuple(_create_route(*row) for row in table)


class Api(circuits.BaseComponent):  # type: ignore[misc]
    """Responds to requests of operators."""

    channel = "web"

    def __init__(
        self,
        routes: tuple[Route, ...],
        operators: tuple[settings.Operator, ...],
    ) -> None:
        """Initialize the API with its routes and the operators it serves."""
        super().__init__()
        self._routes = routes
        self._operators = operators

    @circuits.handler("request", priority=1.0)
    def _on_request(self, event: Any, request: Any, response: Any) -> bytes:
        """Respond to a request in JSON."""
        event.stop()
        result = self._create_response(request)
        response.status = result.status
        response.headers["Content-Type"] = "application/json"
        return orjson.dumps(result.document)

    def _create_response(self, request: Any) -> models.ApiResponse:
        """Return the response of the handler or of its error."""
        try:
            operator = self._authenticate(request)
            if operator is None:
                document = {
                    "error": "NotAuthorized",
                    "advice": "send an operator's token as a bearer token",
                }
                return models.ApiResponse(const.STATUS_UNAUTHORIZED, document)
            return self._dispatch(request, operator)
        except exceptions.TarragonliftError as error:
            return models.ApiResponse(
                _get_status(error), models.create_error_document(error)
            )

    def _authenticate(self, request: Any) -> settings.Operator | None:
        """Return the operator whose bearer token is in the request, if any."""
        value = request.headers.get("Authorization", "")
        scheme, _, token = value.partition(" ")
        if scheme.lower() != "bearer":
            return None
        digest = hashlib.sha256(token.strip().encode()).hexdigest()
        for operator in self._operators:
            if hmac.compare_digest(operator.token_sha256, digest):
                return operator
        return None

    def _dispatch(
        self, request: Any, operator: settings.Operator
    ) -> models.ApiResponse:
        """Call the handler for the method and path of the request."""
        for route in self._routes:
            match = route.pattern.fullmatch(request.path)
            if match is None or route.method != request.method:
                continue
            _check_role(operator, route.role)
            query = dict(urllib.parse.parse_qsl(request.qs or ""))
            api_request = models.ApiRequest(
                operator, match.groupdict(), query, _parse_body(request)
            )
            response = route.handler(api_request)
            if route.role != READ:
                logs.log_action(operator.name, route.method, request.path)
            return response
        raise exceptions.UnknownName("the API has no such path and method")


def _create_route(
    method: str,
    path: str,
    role: str,
    handler: abc.Callable[[models.ApiRequest], models.ApiResponse],
) -> Route:
    """Return the route for a path with parameter names in braces."""
    pattern = re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", const.PREFIX + path)
    return Route(method, path, role, handler, re.compile(pattern))


def _check_role(operator: settings.Operator, required_role: str) -> None:
    """Raise NotAuthorized if the operator's role is too low."""
    roles = settings.ROLES
    if roles.index(operator.role) < roles.index(required_role):
        raise exceptions.NotAuthorized(
            f"this needs the role '{required_role}'; {operator.name} has "
            f"'{operator.role}'"
        )


def _parse_body(request: Any) -> Any:
    """Return the JSON body of a request, None if it is empty."""
    data = request.body.read()
    if not data:
        return None
    try:
        return orjson.loads(data)
    except orjson.JSONDecodeError as error:
        problem = exceptions.Problem("body", "", f"not JSON: {error}")
        raise exceptions.InvalidDocument([problem]) from error


def _get_status(error: exceptions.TarragonliftError) -> int:
    """Return the HTTP status of an error."""
    for error_type, status in STATUS_BY_ERROR:
        if isinstance(error, error_type):
            return status
    return const.STATUS_UNAVAILABLE
