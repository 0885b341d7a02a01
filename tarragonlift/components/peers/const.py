"""Constants of the connections between daemons."""

from __future__ import annotations

GOSSIP_INTERVAL_S = 0.5
CHANGE_DELAY_S = 0.05
CHANGE_FANOUT = 3
# Rate of messages with recent changes. A single change is sent at once; after
# a burst, changes are combined into messages at this rate.
MAX_CHANGE_MESSAGES_PER_S = 0.5
MAX_CHANGE_BURST = 6.0
MAX_MESSAGE_BYTES = 4 << 20
NONCE_BYTES = 16

TYPE_HELLO = "hello"
TYPE_PROOF = "proof"
TYPE_ROUND = "round"
TYPE_FETCH = "fetch"
TYPE_DOCUMENT = "document"
TYPE_LOAN_REQUEST = "want"
TYPE_LOAN_GRANT = "lend"
TYPE_LOAN_RETURN = "return"
