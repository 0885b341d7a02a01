"""Limits and intervals of the daemon in front of a listed fleet."""

from __future__ import annotations

# Maximum request body in bytes that is buffered before a server is chosen.
MAX_BUFFERED_BODY_BYTES = 1 << 20
# Maximum response in bytes that is buffered before its head is sent.
MAX_BUFFERED_RESPONSE_BYTES = 1 << 18
# Maximum idle time in seconds of a pooled connection that may carry a
# request: servers drop idle connections without notice.
MAX_REUSE_IDLE_S = 0.5
# Time in seconds after the final answer is due for which an attempt that is
# not idempotent may still run; its server was told to stop at that time.
ATTEMPT_OVERRUN_TIMEOUT_S = 1.0
# Deadline in seconds of a request that states none.
DEFAULT_DEADLINE_S = 30.0
# Time in seconds of the caller's deadline reserved to transfer the response.
RESPONSE_RESERVE_S = 0.01

# Time in seconds that a request waits for probes: several round trips between
# data centres.
PROBE_WAIT_TIMEOUT_S = 0.02
# Burst size in seconds of the daemon's probe rate.
PROBE_BURST_S = 1.0
# Time in seconds after which a probe without a response fails and its
# connection is closed.
PROBE_TIMEOUT_S = 1.0

# Share of the maximum drain delay between two reads of the list; the rest is
# left for the read itself.
LIST_INTERVAL_SHARE = 0.65
# Share of the maximum drain delay that one read may take.
LIST_TIMEOUT_SHARE = 0.4
# Initial delay in seconds before a retry after the store failed.
MIN_RETRY_INTERVAL_S = 0.25
# Maximum retries per second of all daemons together in a long outage; the
# first daemon that reaches the store again informs the others.
MAX_FLEET_RETRIES_PER_S = 20.0
# Maximum interval in seconds between two retries. With its random increase of
# up to half it stays below the 3 s after which bounds hold again for a daemon
# that is alone.
MAX_RETRY_INTERVAL_S = 1.6
# Maximum time in seconds that one call waits for changes by operators: the
# platform's limit less the transfer time.
MAX_CHANGES_WAIT_S = 25.0
# Delay in seconds from the start to the first read of the daemons' rows,
# randomly increased to up to twice as long, as all daemons may start together.
FIRST_MEMBERS_READ_DELAY_S = 0.7
# Interval in seconds between two reports of a daemon to the seed daemons, the
# interval at which it asks again without an answer, and the time after which
# it uses the store's rows instead.
JOIN_INTERVAL_S = 10.0
JOIN_RETRY_S = 0.1
# Number of reports of a daemon before it asks the seeds for all daemons when
# the whole system starts for the first time.
FIRST_START_REPORTS = 4
JOIN_TIMEOUT_S = 0.5
# Time in seconds after the start of a seed within which all daemons have
# reported themselves to it, even if a report was lost.
REPORTS_COMPLETE_AFTER_S = 2.5 * JOIN_INTERVAL_S
# Interval in seconds between two requests for the state of a neighbour.
STATE_REQUEST_INTERVAL_S = 0.25
# Age of the list, as a share of its maximum age, up to which a daemon passes
# it on to one that starts.
MAX_SHARED_LIST_AGE_SHARE = 1.2
# Time in seconds after which a notice of suspected requests is sent again, as
# datagrams may be lost, and the number of requests in one notice.
CRASH_NOTICE_REPEAT_S = 0.4
MAX_NOTICE_SUSPECTS = 100
# Minimum interval in seconds between two comparisons of what is held back.
HELD_COMPARE_INTERVAL_S = 0.5
# Interval in seconds between two reads of the rows; a daemon that sends a
# message is known at once.
MEMBERS_INTERVAL_S = 60.0
# Age in seconds at which a daemon's row or report that was not renewed is
# ignored.
MEMBER_EXPIRY_S = 240.0

# Time in seconds after SIGTERM for which new requests are accepted: the
# platform sends new connections until two of its checks, one a second, have
# failed.
STOP_ACCEPT_S = 3.0
# Time in seconds between the end of the listener and that of idle connections:
# the first request of a connection that was just accepted may be on its way.
STOP_IDLE_DELAY_S = 0.5
# Time in seconds for the last refusals to be sent before the process exits.
STOP_FLUSH_S = 0.02
# Share of the stop timeout after which the process exits in any case.
STOP_TIMEOUT_SHARE = 0.93

# Interval in seconds of the daemon's periodic work.
TICK_INTERVAL_S = 0.1
# Interval in seconds between checks whether a read of the list is due.
LIST_CHECK_INTERVAL_S = 0.01
SWEEP_INTERVAL_S = 0.5
# Interval in seconds between checks of the settings file for changes.
SETTINGS_CHECK_INTERVAL_S = 1.0
