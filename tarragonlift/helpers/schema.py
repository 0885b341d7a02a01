"""Validation of documents, reporting all errors with their positions."""

from __future__ import annotations

from collections import abc
from typing import Any

import voluptuous as vol

from tarragonlift import exceptions

PositiveInt = vol.All(int, vol.Range(min=1))
NonNegativeInt = vol.All(int, vol.Range(min=0))
Share = vol.All(vol.Coerce(float), vol.Range(min=0.0, max=1.0))
Name = vol.All(str, vol.Match(r"^[a-z0-9][a-z0-9-]{0,62}$"))
Address = vol.All(str, vol.Match(r"^[^\s:]+:\d{1,5}$"))


def check(schema: vol.Schema, document: Any, file: str) -> Any:
    """Validate a document and fill in defaults, or raise InvalidDocument."""
    try:
        return schema(document)
    except vol.MultipleInvalid as error:
        raise exceptions.InvalidDocument(
            [_make_problem(invalid, file) for invalid in error.errors]
        ) from error


def merge(base: Any, overlay: Any) -> Any:
    """Merge an overlay into a base recursively; a list replaces a list."""
    if not isinstance(base, abc.Mapping):
        return overlay
    if not isinstance(overlay, abc.Mapping):
        return overlay
    merged = dict(base)
    for key, value in overlay.items():
        merged[key] = merge(base[key], value) if key in base else value
    return merged


def _make_problem(error: vol.Invalid, file: str) -> exceptions.Problem:
    """Convert a validation error to a problem."""
    place = ".".join(str(part) for part in error.path)
    return exceptions.Problem(file, place, _format_advice(error))


def _format_advice(error: vol.Invalid) -> str:
    """Return what is wrong and how to correct it."""
    if isinstance(error, vol.RequiredFieldInvalid):
        return "this key is required; add it"
    if error.error_message == "extra keys not allowed":
        return "this key is not known; remove it or check its spelling"
    return f"{error.error_message}; correct the value"
