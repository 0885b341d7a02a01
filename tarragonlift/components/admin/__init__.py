"""The administration API for operators."""

from __future__ import annotations

import attrs
import circuits
from circuits import web

from tarragonlift.components.admin import api
from tarragonlift.components.admin import handlers
from tarragonlift.components.admin import models
from tarragonlift.core import models as core_models

Context = models.Context


@attrs.frozen
class Admin:
    """Administration API and its HTTP server."""

    server: web.BaseServer

    @property
    def address(self) -> core_models.Address:
        """Return the address to which operators connect."""
        return core_models.Address(self.server.host, self.server.port)


def create_admin(
    root: circuits.BaseComponent,
    address: core_models.Address,
    context: Context,
) -> Admin:
    """Register the API, which is served once the root component runs."""
    server = web.BaseServer((address.host, address.port))
    server.register(root)
    routes = api.create_routes(handlers.Handlers(context))
    api.Api(routes, context.operators).register(server)
    return Admin(server)
