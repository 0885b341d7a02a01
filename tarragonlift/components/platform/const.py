"""Constants of the platform's clients."""

from __future__ import annotations

# Seconds until a response must begin, unless the request sets a timeout.
DEFAULT_TIMEOUT_S = 1.0
# Seconds until a connection must be established: one repeated opening packet.
CONNECT_TIMEOUT_S = 1.2
# Seconds without data after which a response that has begun is abandoned:
# long responses take more time in total over a slow link.
IDLE_TIMEOUT_S = 0.5
# Seconds after its head until a response is abandoned: 1 MiB takes 4 s over a
# slow link of 2 Mbit/s.
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
