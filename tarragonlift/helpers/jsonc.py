"""Parsing of JSON with comments."""

from __future__ import annotations

import pathlib
from typing import Any

import pyjson5

from tarragonlift import exceptions


def parse(text: str, file: str) -> Any:
    """Parse a text and return the document, or raise InvalidDocument."""
    try:
        return pyjson5.decode(text)
    except pyjson5.Json5DecoderException as error:
        raise exceptions.InvalidDocument(
            [
                exceptions.Problem(
                    file, _locate_error(text, error), _format_advice(error)
                )
            ]
        ) from error


def read(path: pathlib.Path) -> Any:
    """Read a file and return the document, or raise InvalidDocument."""
    return parse(read_text(path), str(path))


def read_text(path: pathlib.Path) -> str:
    """Return the text of a file, or raise InvalidDocument."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.InvalidDocument(
            [exceptions.Problem(str(path), "", f"can't be read: {error}")]
        ) from error


def _locate_error(text: str, error: pyjson5.Json5DecoderException) -> str:
    """Return the line at which the parser stopped."""
    for argument in error.args:
        if isinstance(argument, str) and "near " in argument:
            digits = argument.rsplit("near ", 1)[1].split(",")[0].strip(" .")
            if digits.isdigit():
                line = text.count("\n", 0, int(digits)) + 1
                return f"line {line}"
    return f"line {text.count(chr(10)) + 1}"


def _format_advice(error: pyjson5.Json5DecoderException) -> str:
    """Return the parser's message with advice."""
    message = str(error.args[0]) if error.args else type(error).__name__
    return f"not valid JSON with comments ({message}); mend the syntax"
