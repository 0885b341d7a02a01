"""The paths that tarragonlift itself answers to callers."""

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
    """Tells whether the daemon lives and takes callers."""

    def __init__(self, is_ready: abc.Callable[[], bool]) -> None:
        """Ask this function whether callers should come."""
        self._is_ready = is_ready
        self.case_manager: cases.CaseManager | None = None

    def respond(
        self, head: caller.RequestHead, body: bytes
    ) -> tuple[int, bytes]:
        """Return the status and a JSON body."""
        path = head.target.partition(b"?")[0].decode("latin-1")
        if path == const.PATH_LIVE:
            return STATUS_OK, orjson.dumps({"live": True})
        if path == const.PATH_READY:
            ready = self._is_ready()
            status = STATUS_OK if ready else STATUS_UNAVAILABLE
            return status, orjson.dumps({"ready": ready})
        if path == const.PATH_CASES and head.method == b"POST":
            return self._open_case(head, body)
        return STATUS_NOT_FOUND, orjson.dumps({"error": "NoSuchPage"})

    def _open_case(
        self, head: caller.RequestHead, body: bytes
    ) -> tuple[int, bytes]:
        """Take a case from a caller."""
        if self.case_manager is None:
            return STATUS_UNAVAILABLE, orjson.dumps({"error": "Stopping"})
        try:
            document = orjson.loads(body or b"null")
            checked = schema.check(CASE_SCHEMA, document, "body")
            forwarded = head.fields.get(b"x-forwarded-for", b"")
            name = forwarded.decode("latin-1") or head.peer
            case = self.case_manager.open_case(
                name, checked["request"], checked["text"]
            )
        except orjson.JSONDecodeError:
            advice = "send JSON with the key 'request'"
            answer = {"error": "InvalidDocument", "advice": advice}
            return STATUS_BAD_REQUEST, orjson.dumps(answer)
        except exceptions.InvalidDocument as error:
            answer = {"error": "InvalidDocument", "advice": str(error)}
            return STATUS_BAD_REQUEST, orjson.dumps(answer)
        except exceptions.Overloaded as error:
            answer = {"error": error.code, "advice": error.advice}
            return error.status, orjson.dumps(answer)
        answer = {"case": case.case_id, "state": "open"}
        return STATUS_ACCEPTED, orjson.dumps(answer)
