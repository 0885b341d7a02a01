"""The reference of settings and configuration, made from their schemas."""

from __future__ import annotations

from collections import abc
from typing import Any

import voluptuous as vol

from tarragonlift import config
from tarragonlift import settings

TITLE = """# Settings reference

Made from the schemas by `tarragonlift reference`; a test keeps this page and
the schemas alike. All files are JSON with comments.
"""


def render() -> str:
    """Return the page."""
    parts = [TITLE]
    sections = (
        ("Settings of a process", settings.SETTINGS_SCHEMA),
        ("`platform` in the settings", settings.PLATFORM_SCHEMA),
        ("Each of `operators` in the settings", settings.OPERATOR_SCHEMA),
        ("Configuration of the system", config.CONFIGURATION_SCHEMA),
        ("Each of `services`", config.SERVICE_SCHEMA),
        ("Each of `rules` of a service", config.RULE_SCHEMA),
    )
    for title, schema in sections:
        parts.append(f"## {title}\n")
        parts.extend(_rows(schema))
        parts.append("")
    return "\n".join(parts)


def _rows(schema: vol.Schema) -> abc.Iterator[str]:
    """Return the rows of one section."""
    yield "| key | default | meaning |"
    yield "|---|---|---|"
    for key in schema.schema:
        yield f"| `{key}` | {_default(key)} | {key.description} |"


def _default(key: vol.Marker) -> str:
    """Return the default of a key as text."""
    if isinstance(key, vol.Required):
        return "required"
    value: Any = key.default
    if isinstance(value, vol.Undefined):
        return "none"
    return f"`{value()!r}`"
