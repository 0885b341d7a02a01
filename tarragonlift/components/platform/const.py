"""Constants of the platform's clients."""

from __future__ import annotations

TIMEOUT_S = 1.0
CONNECTIONS_MOST = 4
WAITING_MOST = 512

PATH_TRANSACT = "/table/transact"
PATH_ROW = "/table/row/"
PATH_ROWS = "/table/rows/"
PATH_OBJECT = "/objects/"
PATH_HOSTS = "/hosts"

HEADER_ETAG = b"etag"

STATUS_OK = 200
STATUS_CREATED = 201
STATUS_NOT_MODIFIED = 304
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
