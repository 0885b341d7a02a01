"""Constants of the platform's clients."""

from __future__ import annotations

# Seconds until an answer begins, unless a call says otherwise.
TIMEOUT_S = 1.0
# Seconds of silence within an answer after which it is given up: long ones
# take their time over a slow link.
IDLE_TIMEOUT_S = 0.5
# Seconds after which a whole answer is given up: 1 MiB over a slow link of 2
# Mbit/s takes 4.
RESPONSE_TIMEOUT_S = 5.0
MAX_CONNECTIONS = 4
MAX_WAITING = 512

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
