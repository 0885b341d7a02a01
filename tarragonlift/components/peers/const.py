"""Constants of the streams between daemons."""

from __future__ import annotations

ROUND_SECONDS = 0.5
NEWS_SECONDS = 0.05
NEWS_FANOUT = 3
# A change goes out at once; many changes are told together at this rate.
NEWS_RATE = 0.5
NEWS_BURST = 6.0
MESSAGE_BYTES_MOST = 4 << 20
NONCE_BYTES = 16

TYPE_HELLO = "hello"
TYPE_PROOF = "proof"
TYPE_ROUND = "round"
TYPE_FETCH = "fetch"
TYPE_DOCUMENT = "document"
TYPE_WANT = "want"
TYPE_LEND = "lend"
TYPE_RETURN = "return"
