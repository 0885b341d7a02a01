"""Paths to which tarragonlift itself responds."""

from __future__ import annotations

from collections import abc

import orjson
import voluptuous as vol

from tarragonlift.components import cases
from tarragonlift.components.data_path import caller
from tarragonlift.components.data_path import internal_responses
from tarragonlift import const
from tarragonlift import exceptions
from tarragonlift.helpers import schema

STATUS_OK = 200
STATUS_ACCEPTED = 202
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503


CASE_SCHEMA = vol.Schema(
    {
        vol.Required("request"): vol.All(str, vol.Length(min=1, max=128)),
        vol.Optional("text", default=""): str,
    }
)


class Pages(internal_responses.InternalPages):
    """Serves the liveness, readiness and case paths."""

    def __init__(self, is_ready: abc.Callable[[], bool]) -> None:
        """Initialize the pages with the function that checks readiness."""
        self._is_ready = is_ready
        self.case_manager: cases.CaseManager | None = None

    def respond(
        self, head: caller.RequestHead, body: bytes
    ) -> tuple[int, bytes]:
        """Return the status and the JSON body for a request."""
        path = head.target.partition(b"?")[0].decode("latin-1")
        if path == const.PATH_LIVE:
            return STATUS_OK, orjson.dumps({"live": True})
        if path == const.PATH_READY:
            is_ready = self._is_ready()
            status = STATUS_OK if is_ready else STATUS_UNAVAILABLE
            return status, orjson.dumps({"ready": is_ready})
        if path == const.PATH_CASES and head.method == b"POST":
            return self._open_case(head, body)
        return STATUS_NOT_FOUND, orjson.dumps({"error": "NoSuchPage"})

    def _open_case(
        self, head: caller.RequestHead, body: bytes
    ) -> tuple[int, bytes]:
        """Open a case for a caller."""
        if self.case_manager is None:
            return STATUS_UNAVAILABLE, orjson.dumps({"error": "Stopping"})
        try:
            document = orjson.loads(body or b"null")
            case_document = schema.check(CASE_SCHEMA, document, "body")
            forwarded = head.fields.get(b"x-forwarded-for", b"")
            caller_name = forwarded.decode("latin-1") or head.peer
            case = self.case_manager.open_case(
                caller_name, case_document["request"], case_document["text"]
            )
        except orjson.JSONDecodeError:
            advice = "send JSON with the key 'request'"
            response = {"error": "InvalidDocument", "advice": advice}
            return STATUS_BAD_REQUEST, orjson.dumps(response)
        except exceptions.InvalidDocument as error:
            response = {"error": "InvalidDocument", "advice": str(error)}
            return STATUS_BAD_REQUEST, orjson.dumps(response)
        except exceptions.Overloaded as error:
            response = {"error": error.code, "advice": error.advice}
            return error.status, orjson.dumps(response)
        response = {"case": case.case_id, "state": "open"}
        return STATUS_ACCEPTED, orjson.dumps(response)
