"""Settings of a process: its addresses, keys and operators."""

from __future__ import annotations

import pathlib

import attrs
import voluptuous as vol

from tarragonlift.core import models
from tarragonlift.core import routing
from tarragonlift.helpers import jsonc
from tarragonlift.helpers import schema

CONF_ADMIN = "admin"
CONF_DAEMON = "daemon"
CONF_DATA_CENTRE = "data_centre"
CONF_DRAIN_SECONDS = "drain_seconds"
CONF_FINISH_SECONDS = "finish_seconds"
CONF_HOSTS = "hosts"
CONF_KEY_FILES = "key_files"
CONF_LISTEN = "listen"
CONF_NAME = "name"
CONF_OBJECTS = "objects"
CONF_OPERATORS = "operators"
CONF_PEER_LISTEN = "peer_listen"
CONF_PEERS = "peers"
CONF_PLATFORM = "platform"
CONF_POLICY = "policy"
CONF_READY_FILE = "ready_file"
CONF_ROLE = "role"
CONF_STATSD = "statsd"
CONF_TABLE = "table"
CONF_TOKEN_SHA256 = "token_sha256"  # noqa: S105 - the name of a key

ROLE_CONFIGURE = "configure"
ROLE_OPERATE = "operate"
ROLE_READ = "read"
ROLES = (ROLE_READ, ROLE_OPERATE, ROLE_CONFIGURE)

OPERATOR_SCHEMA = vol.Schema(
    {
        vol.Required(
            CONF_NAME, description="name of the operator"
        ): schema.Name,
        vol.Required(
            CONF_ROLE,
            description="'read', 'operate' (data centres, cases, held "
            "requests) or 'configure' (all)",
        ): vol.In(ROLES),
        vol.Required(
            CONF_TOKEN_SHA256,
            description="SHA-256 of the operator's token, in hexadecimal",
        ): vol.All(str, vol.Match(r"^[0-9a-f]{64}$")),
    }
)

PLATFORM_SCHEMA = vol.Schema(
    {
        vol.Required(
            CONF_TABLE, description="address of the table service"
        ): schema.Address,
        vol.Required(
            CONF_OBJECTS, description="address of the object store"
        ): schema.Address,
        vol.Required(
            CONF_HOSTS, description="address of the list of hosts"
        ): schema.Address,
    }
)

SETTINGS_SCHEMA = vol.Schema(
    {
        vol.Required(
            CONF_DAEMON, description="unique name of this daemon"
        ): schema.Name,
        vol.Required(
            CONF_DATA_CENTRE,
            description="data centre of this host",
        ): schema.Name,
        vol.Required(
            CONF_LISTEN, description="address for callers"
        ): schema.Address,
        vol.Required(
            CONF_ADMIN,
            description="address of the administration API",
        ): schema.Address,
        vol.Required(
            CONF_PEER_LISTEN,
            description="address for other daemons; reachable by them",
        ): schema.Address,
        vol.Optional(
            CONF_PEERS,
            default=list,
            description="addresses of some other daemons, used while the "
            "table is unavailable",
        ): [schema.Address],
        vol.Required(
            CONF_PLATFORM, description="the platform's services"
        ): PLATFORM_SCHEMA,
        vol.Optional(
            CONF_STATSD, description="address of the statsd server"
        ): schema.Address,
        vol.Required(
            CONF_KEY_FILES,
            description="files with the keys shared by all daemons; the "
            "key of the first file signs, all keys verify",
        ): vol.All([str], vol.Length(min=1)),
        vol.Required(CONF_OPERATORS, description="who may use the API"): [
            OPERATOR_SCHEMA
        ],
        vol.Optional(
            CONF_POLICY,
            default=routing.POLICY_LEAST_IN_FLIGHT,
            description="routing policy; others serve as baselines",
        ): vol.In(routing.POLICIES),
        vol.Optional(
            CONF_DRAIN_SECONDS,
            default=5,
            description="seconds for which new requests are still accepted "
            "after SIGTERM, to cover the delay of the platform's balancer",
        ): schema.NonNegativeInt,
        vol.Optional(
            CONF_FINISH_SECONDS,
            default=3600,
            description="maximum time in seconds for requests in progress to "
            "finish",
        ): schema.PositiveInt,
        vol.Optional(
            CONF_READY_FILE,
            description="file to which the daemon writes its addresses once "
            "it listens, for a supervisor",
        ): str,
    }
)


@attrs.frozen
class Operator:
    """An operator who may use the administration API."""

    name: str
    role: str
    token_sha256: str


@attrs.frozen
class Settings:
    """The validated settings of a process."""

    daemon: str
    data_centre: str
    listen: models.Address
    admin: models.Address
    peer_listen: models.Address
    peers: tuple[models.Address, ...]
    table: models.Address
    objects: models.Address
    hosts: models.Address
    statsd: models.Address | None
    key_files: tuple[pathlib.Path, ...]
    operators: tuple[Operator, ...]
    policy: str
    drain_seconds: int
    finish_seconds: int
    ready_file: pathlib.Path | None


def load(path: pathlib.Path) -> Settings:
    """Load and validate a settings file, or raise InvalidDocument."""
    document = schema.check(SETTINGS_SCHEMA, jsonc.read(path), str(path))
    parse_address = models.Address.parse
    platform = document[CONF_PLATFORM]
    statsd = document.get(CONF_STATSD)
    ready_file = document.get(CONF_READY_FILE)
    return Settings(
        daemon=document[CONF_DAEMON],
        data_centre=document[CONF_DATA_CENTRE],
        listen=parse_address(document[CONF_LISTEN]),
        admin=parse_address(document[CONF_ADMIN]),
        peer_listen=parse_address(document[CONF_PEER_LISTEN]),
        peers=tuple(parse_address(peer) for peer in document[CONF_PEERS]),
        table=parse_address(platform[CONF_TABLE]),
        objects=parse_address(platform[CONF_OBJECTS]),
        hosts=parse_address(platform[CONF_HOSTS]),
        statsd=parse_address(statsd) if statsd else None,
        key_files=tuple(
            path.parent / key_file for key_file in document[CONF_KEY_FILES]
        ),
        operators=tuple(
            Operator(
                operator[CONF_NAME],
                operator[CONF_ROLE],
                operator[CONF_TOKEN_SHA256],
            )
            for operator in document[CONF_OPERATORS]
        ),
        policy=document[CONF_POLICY],
        drain_seconds=document[CONF_DRAIN_SECONDS],
        finish_seconds=document[CONF_FINISH_SECONDS],
        ready_file=path.parent / ready_file if ready_file else None,
    )
