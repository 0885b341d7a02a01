"""Reference page of settings and configuration, built from the schemas."""

from __future__ import annotations

from collections import abc
from typing import Any

import voluptuous as vol

from tarragonlift import config
from tarragonlift import settings

TITLE = """# Settings reference

Generated from the schemas by `tarragonlift reference`; a test checks that
this page matches them. All files are JSON with comments.
"""


def render() -> str:
    """Return the reference page as Markdown."""
    lines = [TITLE]
    sections = (
        ("Settings of a process", settings.SETTINGS_SCHEMA),
        ("`platform` in the settings", settings.PLATFORM_SCHEMA),
        ("Each of `operators` in the settings", settings.OPERATOR_SCHEMA),
        ("Configuration of the system", config.CONFIGURATION_SCHEMA),
        ("Each of `services`", config.SERVICE_SCHEMA),
        ("Each of `rules` of a service", config.RULE_SCHEMA),
    )
    for title, schema in sections:
        lines.append(f"## {title}\n")
        lines.extend(_format_rows(schema))
        lines.append("")
    return "\n".join(lines)


def _format_rows(schema: vol.Schema) -> abc.Iterator[str]:
    """Yield the table rows for the keys of a schema."""
    yield "| key | default | meaning |"
    yield "|---|---|---|"
    for key in schema.schema:
        yield f"| `{key}` | {_format_default(key)} | {key.description} |"


def _format_default(key: vol.Marker) -> str:
    """Return the default of a key as Markdown."""
    if isinstance(key, vol.Required):
        return "required"
    value: Any = key.default
    if isinstance(value, vol.Undefined):
        return "none"
    return f"`{value()!r}`"
