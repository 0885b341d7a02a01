"""Limits of the parts round the delivery over a listed fleet."""

from __future__ import annotations

# Longest request body that is read whole before a server is chosen, bytes.
MAX_BUFFERED_BODY_BYTES = 1 << 20
# Longest answer that is read whole before its head is passed on, bytes.
MAX_BUFFERED_RESPONSE_BYTES = 1 << 18
# Seconds since its last answer within which a kept connection may carry a
# request: servers forget idle connections without notice.
MAX_REUSE_IDLE_S = 0.5
# Seconds for which an attempt whose caller was answered may go on.
ATTEMPT_OVERRUN_TIMEOUT_S = 10.0
# Time that a request without a deadline gets, in seconds.
DEFAULT_DEADLINE_S = 30.0
# Part of the caller's time kept back for the way of the answer, seconds.
RESPONSE_RESERVE_S = 0.01

# Seconds for which a request waits for probes: several times their round
# trip between data centres.
PROBE_WAIT_TIMEOUT_S = 0.02
# Seconds of its rate of probes that a daemon may send at once.
PROBE_BURST_S = 1.0
# Seconds that a probe's answer may take before its connection is closed.
PROBE_TIMEOUT_S = 1.0

# Part of the time within which a leaving server must be known that passes
# between two readings of the list; the rest is for the reading itself.
LIST_INTERVAL_SHARE = 0.65
# Part of that time which one reading may take.
LIST_TIMEOUT_SHARE = 0.4
# Seconds until a daemon reads what operators wrote because another one knows
# more: it is mostly told meanwhile.
CATCH_UP_DELAY_S = 0.1
# Seconds until the next try after the store failed.
MIN_RETRY_INTERVAL_S = 0.25
# Tries a second of all daemons together in a long outage: the first that
# finds the store back tells the others.
MAX_FLEET_RETRIES_PER_S = 20.0
# Longest pause between two tries, in seconds: half as long again by chance is
# less than the 3 s after which bounds hold again for a daemon that is alone.
MAX_RETRY_INTERVAL_S = 1.6
# Longest wait of one call for changes of the configuration, seconds: the
# longest that the platform allows less the way there.
MAX_CHANGES_WAIT_S = 25.0
# Seconds from the start to the first look at the rows of the daemons, up to
# twice as long by chance: all daemons may start together.
FIRST_MEMBERS_READ_DELAY_S = 0.7
# Seconds between two looks at them; who tells something is known at once.
MEMBERS_INTERVAL_S = 60.0
# Seconds after which a daemon's row that was not written again is void.
MEMBER_EXPIRY_S = 240.0

# Seconds after SIGTERM for which new requests are taken: the platform sends
# new connections until two of its checks, one a second, have failed.
STOP_ACCEPT_S = 3.0
# Part of the time to stop after which the process ends in any case.
STOP_TIMEOUT_SHARE = 0.93

TICK_INTERVAL_S = 0.1
# Seconds between two looks at whose turn it is to read the list.
LIST_CHECK_INTERVAL_S = 0.01
SWEEP_INTERVAL_S = 0.5
# Seconds between two looks at the settings file.
SETTINGS_CHECK_INTERVAL_S = 1.0
