"""System configuration: a base file and one overlay per data centre."""

from __future__ import annotations

from collections import abc
import json
from typing import Any

import attrs
import voluptuous as vol

from tarragonlift import const
from tarragonlift.core import const as core_const
from tarragonlift.core import models
from tarragonlift import exceptions
from tarragonlift.helpers import jsonc
from tarragonlift.helpers import schema

CONF_BODY_BYTES = "body_bytes"
CONF_CALLER_HEADER = "caller_header"
CONF_COLD_LIMIT = "cold_limit"
CONF_CRASH_LIMIT = "crash_limit"
CONF_DATA_CENTRES = "data_centres"
CONF_DEADLINE_MS = "deadline_ms"
CONF_HEDGE_SHARE = "hedge_share"
CONF_HOSTS = "hosts"
CONF_KEY_HEADER = "key_header"
CONF_LIMIT = "limit"
CONF_METHODS = "methods"
CONF_PATH_PREFIX = "path_prefix"
CONF_PROBES = "probes_per_second"
CONF_QUEUE_LENGTH = "queue_length"
CONF_REPLAY_BYTES = "replay_bytes"
CONF_RETRY_SHARE = "retry_share"
CONF_RULES = "rules"
CONF_RUN = "run"
CONF_SERVICES = "services"
CONF_SLOTS = "slots"
CONF_WARM_AFTER = "warm_after"

PathPrefix = vol.All(str, vol.Match(r"^/"))

RULE_SCHEMA = vol.Schema(
    {
        vol.Optional(
            CONF_METHODS,
            default=list,
            description="methods to which the rule applies; empty: all",
        ): [vol.All(str, vol.Match(r"^[A-Z]+$"))],
        vol.Optional(
            CONF_PATH_PREFIX,
            default="/",
            description="prefix of the paths to which the rule applies",
        ): PathPrefix,
        vol.Required(
            CONF_RUN,
            description="'idempotent': may be sent again; 'once': runs at "
            "most once and needs a key",
        ): vol.In([run.value for run in core_const.Run]),
        vol.Optional(
            CONF_KEY_HEADER,
            default=const.HEADER_IDEMPOTENCY_KEY,
            description="header with the key of a request that runs once",
        ): str,
    }
)

SERVICE_SCHEMA = vol.Schema(
    {
        vol.Optional(
            CONF_HOSTS,
            default=list,
            description="host names of the service; empty: all",
        ): [str],
        vol.Optional(
            CONF_PATH_PREFIX,
            default="/",
            description="prefix of the paths of the service",
        ): PathPrefix,
        vol.Optional(
            CONF_LIMIT,
            default=12,
            description="maximum number of concurrent requests to one backend "
            "server, from all daemons together",
        ): schema.PositiveInt,
        vol.Optional(
            CONF_SLOTS,
            default=6,
            description="number of requests that one backend server runs "
            "concurrently; a cold server never gets more",
        ): schema.PositiveInt,
        vol.Optional(
            CONF_COLD_LIMIT,
            default=1,
            description="maximum number of concurrent requests to a cold "
            "backend server",
        ): schema.PositiveInt,
        vol.Optional(
            CONF_WARM_AFTER,
            default=50,
            description="consecutive responses after which a cold backend "
            "server counts as warm",
        ): schema.PositiveInt,
        vol.Optional(
            CONF_DEADLINE_MS,
            default=10000,
            description="deadline of a request that states none, in ms",
        ): schema.PositiveInt,
        vol.Optional(
            CONF_RETRY_SHARE,
            default=0.1,
            description="extra calls allowed for retries, as a share of calls",
        ): schema.Share,
        vol.Optional(
            CONF_HEDGE_SHARE,
            default=0.05,
            description="extra calls allowed for hedging, as a share of calls",
        ): schema.Share,
        vol.Optional(
            CONF_REPLAY_BYTES,
            default=65536,
            description="largest request body kept for a retry, in bytes",
        ): schema.NonNegativeInt,
        vol.Optional(
            CONF_BODY_BYTES,
            default=1 << 30,
            description="largest request body accepted, in bytes",
        ): schema.PositiveInt,
        vol.Optional(
            CONF_QUEUE_LENGTH,
            default=64,
            description="maximum number of requests that wait for a backend "
            "server",
        ): schema.NonNegativeInt,
        vol.Optional(
            CONF_CALLER_HEADER,
            default="",
            description="header that identifies the caller; empty: the "
            "caller's address",
        ): str,
        vol.Optional(
            CONF_CRASH_LIMIT,
            default=3,
            description="total number of crashes after which a request is "
            "held back",
        ): schema.PositiveInt,
        vol.Optional(
            CONF_PROBES,
            default=1,
            description="maximum number of probes per second of the service's "
            "backend servers, from all daemons together; 0: none",
        ): schema.NonNegativeInt,
        vol.Optional(
            CONF_RULES,
            default=list,
            description="rules, of which the first match applies; none: by "
            "method",
        ): [RULE_SCHEMA],
    }
)

CONFIGURATION_SCHEMA = vol.Schema(
    {
        vol.Required(
            CONF_DATA_CENTRES, description="names of all data centres"
        ): vol.All([schema.Name], vol.Length(min=1), vol.Unique()),
        vol.Required(CONF_SERVICES, description="services by name"): vol.All(
            {schema.Name: SERVICE_SCHEMA}, vol.Length(min=1)
        ),
    }
)


@attrs.frozen
class Bundle:
    """Texts of a configuration: the base, and the overlays by data centre."""

    base: str
    overlays: dict[str, str]

    def encode(self) -> bytes:
        """Serialize the bundle; equal texts give equal bytes."""
        document = {"base": self.base, "overlays": self.overlays}
        return json.dumps(document, sort_keys=True).encode()

    @classmethod
    def decode(cls, data: bytes) -> Bundle:
        """Deserialize a bundle."""
        document = json.loads(data)
        return cls(document["base"], document["overlays"])


def build(bundle: Bundle, data_centre: str) -> models.Configuration:
    """Build the configuration of a data centre, or raise InvalidDocument."""
    document = jsonc.parse(bundle.base, "base")
    file = "base"
    overlay = bundle.overlays.get(data_centre)
    if overlay is not None:
        file = f"base with overlay {data_centre}"
        document = schema.merge(
            document, jsonc.parse(overlay, f"overlay {data_centre}")
        )
    validated = schema.check(CONFIGURATION_SCHEMA, document, file)
    return _parse_configuration(validated)


def check_bundle(bundle: Bundle) -> models.Configuration:
    """Return the configuration of the base file.

    Raises InvalidDocument with all errors of the base and the overlays.
    """
    problems: list[exceptions.Problem] = []
    base: models.Configuration | None = None
    try:
        base = build(attrs.evolve(bundle, overlays={}), "")
    except exceptions.InvalidDocument as error:
        problems.extend(error.problems)
    for name in sorted(bundle.overlays):
        problems.extend(_find_overlay_problems(bundle, name, base, problems))
    if problems:
        raise exceptions.InvalidDocument(problems)
    assert base is not None  # noqa: S101 - built, as there is no problem
    return base


def _find_overlay_problems(
    bundle: Bundle,
    name: str,
    base: models.Configuration | None,
    known: list[exceptions.Problem],
) -> list[exceptions.Problem]:
    """Return the errors of an overlay that the base alone does not have."""
    file = f"overlay {name}"
    try:
        merged = build(bundle, name)
    except exceptions.InvalidDocument as error:
        known_errors = {(problem.place, problem.advice) for problem in known}
        return [
            attrs.evolve(problem, file=file)
            for problem in error.problems
            if (problem.place, problem.advice) not in known_errors
        ]
    if base is None:
        return []
    problems = []
    if name not in base.data_centres:
        advice = "no data centre has this name; rename the overlay"
        problems.append(exceptions.Problem(file, "", advice))
    if merged.data_centres != base.data_centres:
        advice = "an overlay can't change the data centres; edit the base"
        problems.append(exceptions.Problem(file, CONF_DATA_CENTRES, advice))
    names = {service.name for service in base.services}
    for service in merged.services:
        if service.name not in names:
            advice = "an overlay can't add a service; add it to the base"
            place = f"{CONF_SERVICES}.{service.name}"
            problems.append(exceptions.Problem(file, place, advice))
    return problems


def _parse_configuration(
    document: abc.Mapping[str, Any],
) -> models.Configuration:
    """Convert a validated document to the configuration model."""
    services = tuple(
        _parse_service(name, body)
        for name, body in sorted(document[CONF_SERVICES].items())
    )
    return models.Configuration(services, tuple(document[CONF_DATA_CENTRES]))


def _parse_service(name: str, body: abc.Mapping[str, Any]) -> models.Service:
    """Convert a validated service to its model."""
    return models.Service(
        name=name,
        hosts=frozenset(body[CONF_HOSTS]),
        path_prefix=body[CONF_PATH_PREFIX],
        limit=body[CONF_LIMIT],
        slots=body[CONF_SLOTS],
        cold_limit=body[CONF_COLD_LIMIT],
        warm_after=body[CONF_WARM_AFTER],
        deadline_s=body[CONF_DEADLINE_MS] / const.MILLISECONDS_PER_SECOND,
        retry_share=body[CONF_RETRY_SHARE],
        hedge_share=body[CONF_HEDGE_SHARE],
        replay_bytes=body[CONF_REPLAY_BYTES],
        body_bytes=body[CONF_BODY_BYTES],
        queue_length=body[CONF_QUEUE_LENGTH],
        caller_header=body[CONF_CALLER_HEADER],
        crash_limit=body[CONF_CRASH_LIMIT],
        probes=body[CONF_PROBES],
        rules=tuple(_parse_rule(rule) for rule in body[CONF_RULES]),
    )


def _parse_rule(body: abc.Mapping[str, Any]) -> models.Rule:
    """Convert a validated rule to its model."""
    return models.Rule(
        methods=frozenset(body[CONF_METHODS]),
        path_prefix=body[CONF_PATH_PREFIX],
        run=core_const.Run(body[CONF_RUN]),
        key_header=body[CONF_KEY_HEADER],
    )
