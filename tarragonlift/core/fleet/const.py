"""Constants of the delivery to a listed fleet."""

from __future__ import annotations

# Age in seconds up to which a load report may decide where a request goes.
# A server's load changes within milliseconds; a probe's round trip takes
# about two.
MAX_REPORT_AGE_S = 0.03

# Bounds of a plausible load report: requests or slots of one server, and how
# many times as long work takes as usual.
MAX_LOAD_COUNT = 100_000
MIN_SLOWDOWN = 0.01
MAX_SLOWDOWN = 10_000.0
# Highest rate limit per second of a server that is taken for one.
MAX_RATE_LIMIT_PER_S = 1e6

# Number of daemons of a data centre that wait for operators' changes: changes
# arrive late only if all of them fail at once.
MAX_WATCHERS = 2
# Number of daemons of each other data centre that get a message to all
# daemons and pass it on there.
RELAYS_PER_DATA_CENTRE = 2

# Interval in seconds between two notices of a daemon that tries the store in
# vain, and the time for which others rely on one.
OUTAGE_NOTICE_INTERVAL_S = 0.5
OUTAGE_NOTICE_TTL_S = 1.3
# Time in seconds for which the store counts as reachable after some daemon has
# reached it: longer than the list of servers goes unread.
STORE_REACHED_TTL_S = 3.0
# Tries per second of a data centre's other daemons together in an outage: the
# store may refuse only those that try first.
DEFERRED_TRIES_PER_S = 1.0
# Time in seconds after which a read without an answer counts as an outage.
SLOW_READ_S = 0.15

# Number of daemons of a data centre that are asked for their state by those
# that start, and that read the store when all start for the first time.
MAX_STATE_PROVIDERS = 2
# Times in seconds after the first start of all daemons: until those that
# started are known, and until a daemon without an answer reads the store.
SETTLE_TIME_S = 4.0
FIRST_START_WAIT_S = 6.0
# Time in seconds after a restart until a daemon without an answer reads the
# store: a few round trips between data centres. A neighbour that is reading
# it prolongs this time after each request, up to a maximum.
RESTART_WAIT_S = 0.06
PENDING_WAIT_S = 0.3
MAX_RESTART_WAIT_S = 1.0

# Shares of the time within which operators' changes must be known: the
# interval between two heartbeats of a waiting daemon, and the silence after
# which the next daemon in order, and at the latest the last one, waits
# itself. The remaining time is left for the store's answer.
WATCH_HEARTBEAT_SHARE = 0.2
FIRST_TAKEOVER_SHARE = 0.5
LAST_TAKEOVER_SHARE = 0.7
# Share of the same time after which whoever reads the list also asks whether
# operators changed anything: all open calls for changes may have gone silent.
CHANGES_CHECK_SHARE = 0.45
# Time in seconds within which an open call delivers a change that is known
# from elsewhere; later it is replaced.
CHANGE_LAG_S = 0.3
# Shares of the same time after which a daemon that hears of newer changes
# reads them at the store: a waiting daemon at once, others by rank if the
# changes have not arrived from a waiting one.
CATCH_UP_SHARE = 0.05
FIRST_LATE_CATCH_UP_SHARE = 0.3
LAST_LATE_CATCH_UP_SHARE = 0.4

# Share of the allowed probe rate that all daemons together plan with.
PROBE_RATE_SHARE = 0.8
# Number of servers probed at once: if one server in four is slow, all three
# are slow in 1 of 64 cases.
PROBES_PER_ROUND = 3
# Number of servers of the local data centre, and as many of the others, to
# which one daemon sends usual requests: enough that several are fast, few
# enough that a connection to each is reused before it is idle for long.
SUBSET_SIZE = 8
# Number of probe rounds before the best known server is chosen.
MAX_PROBE_ROUNDS = 2
# Share of the target latency for which a request may wait for capacity.
MAX_WAIT_SHARE = 0.125
# Difference in seconds to the longest time left of a route from which a
# request counts as a retry; a smaller one is the transit time of a first
# request.
MIN_ELAPSED_S = 0.05
# Interval in seconds between two searches for a server with capacity: a
# busy server finishes a request every few milliseconds, and each search
# costs probes.
WAIT_INTERVAL_S = 0.03
# Probability of a late answer up to which a request waits in a server's
# queue: for the most urgent routes of a service, and for all others.
MAX_LATE_PROBABILITY_URGENT = 0.85
MAX_LATE_PROBABILITY_OTHERS = 0.6

# Loss of a late answer, as a share of the value of one in time.
LATE_LOSS = 0.9
# Default loss for each KiB sent between data centres, as a share of a
# request's value.
CROSSING_LOSS_PER_KIB = 0.05
# Probability of a late answer below which a server is chosen without
# further probes.
GOOD_LATE_PROBABILITY = 0.05
# Exponent of the probability of a late answer: service times that spread by
# 0.3 on a logarithmic scale give a logistic curve of about this slope.
LATE_PROBABILITY_EXPONENT = 5.0
# Weight of the expected latency among servers that answer equally in time.
LATENCY_WEIGHT = 0.1
# Share of busy slots above which a server begins to slow down.
CROWDED_SHARE = 0.7
# Relative slowdown for each unit of the share above it.
CROWDED_SLOWDOWN = 0.5
# Initial estimate of a route's service time, as a share of its target
# latency.
INITIAL_SERVICE_TIME_SHARE = 0.4
# Half-life in seconds of the observed latency ratio of a server.
LATENCY_RATIO_HALF_LIFE_S = 2.0
# Slowdown expected of a server with an old report: the mean over servers of
# which a quarter takes seven times as long.
UNKNOWN_SLOWDOWN = 2.5
# Half-life in seconds of the information in a load report.
REPORT_HALF_LIFE_S = 0.25

# Time in seconds for which a server is avoided after a failure if others are
# available.
AVOID_AFTER_FAILURE_S = 1.0
# Half-life in seconds of the observed share of failures of a server.
FAILURE_HALF_LIFE_S = 4.0

# Number of daemons that may send to the same cold server; they divide its
# rate.
MAX_COLD_OWNERS = 4
# Share of a cold server's rate that is used, so that the requests of one
# second never exceed the rate.
COLD_RATE_SHARE = 0.8
# Lowest rate per second of a cold server.
MIN_COLD_PER_S = 0.1

# Share of the extra calls allowed by the users that one daemon plans with.
EXTRA_CALL_SHARE = 0.8
# Number of service times before the target latency at which a late idempotent
# request is hedged so that it is still answered in time.
HEDGE_SERVICE_TIMES = 1.25
# Share of the whole time after which an unanswered idempotent request is
# hedged although its answer will be late.
HEDGE_LATE_SHARE = 0.5
# Number of searches for a second server for one request: one to meet the
# target latency, two so that the request is answered at all.
MAX_HEDGE_SEARCHES = 3

# Number of starts of servers that ended with a request, as seen by all
# daemons, after which it is held back, and the number that is counted at most.
MAX_CRASHES = 3
MAX_COUNTED_ENDS = 8
# Number of suspected requests that are remembered.
MAX_SUSPECTED_REQUESTS = 1000
# Time in seconds after the last end for which a request is suspected.
SUSPECT_TTL_S = 600.0
# Time in seconds after an answer for which the end of a server is not
# attributed to the request, and the number of answers that are remembered.
ANSWER_TTL_S = 5.0
MAX_REMEMBERED_ANSWERS = 512
# Time in seconds for which a request counts whose connection was closed before
# its server ended, and the number of them for each server.
LEFT_REQUEST_TTL_S = 10.0
MAX_LEFT_REQUESTS = 64
# Time in seconds before its end for which a server's connection must have
# been established to show that it did not end: daemons learn of an end later.
MIN_SURVIVED_S = 1.0
# Time in seconds after a server's supposed end at which a list that still
# names the same start disproves it: entries expire after three heartbeats.
LIST_CONFIRMS_END_AFTER_S = 8.0
# Time in seconds after the last end until one daemon lets a request that is
# held back through, the factor for each further time, and how many times.
CRASH_TRIAL_PAUSE_S = 30.0
CRASH_TRIAL_FACTOR = 3.0
MAX_CRASH_TRIALS = 2

# Share of the time left after which a refused caller should retry; callers
# honour at most a third.
RETRY_AFTER_SHARE = 0.3
# Longest pause in seconds after a refusal other than for overload, and
# shortest pause after any refusal.
MAX_RETRY_AFTER_S = 0.2
MIN_RETRY_AFTER_S = 0.05

# Maximum time in seconds after a pause of the process for which requests wait
# until the servers and operators' changes were read again.
MAX_HOLD_AFTER_PAUSE_S = 0.4

# Time in seconds for which entries that went missing while the list could not
# be read are kept once it can be read again; the platform lists running
# servers again within two seconds.
MISSING_KEPT_S = 2.0
# Time in seconds without a read by any daemon that counts as such an outage,
# and its minimum as a multiple of the maximum age of the list: an entry
# expires after three heartbeats of 1.5 s.
MIN_OUTAGE_S = 3.0
OUTAGE_AGE_FACTOR = 1.2
# Time in seconds for which a server that said in an answer that it leaves is
# used if there is no other: half of the shortest time that users allow.
LAST_USE_S = 1.0
# Longest pause in seconds of a server that is taken for one.
MAX_PAUSE_S = 3600.0
# Share of a pause, and longest time in seconds, over which daemons return to a
# server after it, and the number of different times.
PAUSE_SPREAD_SHARE = 0.25
MAX_PAUSE_SPREAD_S = 1.0
PAUSE_SPREAD_STEPS = 16
# Longest time in seconds for which daemons avoid a server that asked another
# one for a pause.
MAX_TOLD_PAUSE_S = 10.0
# Minimum time in seconds between two notices of pauses by one daemon, and
# between two of them about one server.
PAUSE_NOTICE_INTERVAL_S = 0.5
SERVER_PAUSE_NOTICE_INTERVAL_S = 1.0
# Maximum number of pauses in one notice, so that it fits into a datagram.
MAX_NOTICE_PAUSES = 200
# Shares of the maximum age of the list after which the first daemon in order
# and the last one that waits for operators' changes read it, and after which
# all others follow until the maximum age. Those that read first tell the
# others of an outage before they try.
FIRST_READ_SHARE = 0.6
LAST_CONTACT_READ_SHARE = 0.75
FIRST_OTHER_READ_SHARE = 0.9
# Share by which such a daemon reads later than one that read at the same
# moment, so that only one of them goes on.
YIELD_READ_SHARE = 0.05

# Number of requests that all owners of a limited server may send at once: a
# fixed one, and those of some seconds at the limit. There are as many owners,
# so that they have requests to send.
MIN_RATE_LIMIT_BURST = 3.0
RATE_LIMIT_BURST_S = 2.0
# Lowest rate per second at which requests find out whether a limit has ended.
MIN_TRIAL_PER_S = 0.05
# Time in seconds for which a limit holds that no response confirms, and the
# number of answers at the limit's rate within which one should.
MIN_RATE_LIMIT_TTL_S = 15.0
RATE_LIMIT_TTL_ANSWERS = 3.0
# Interval in seconds between two notices of an unchanged limit, and between
# two of a limit that changes often.
RATE_LIMIT_NOTICE_INTERVAL_S = 5.0
MIN_RATE_LIMIT_NOTICE_INTERVAL_S = 0.5
# Number of notices of a change, as one of them may be lost.
RATE_LIMIT_CHANGE_NOTICES = 2
# Maximum number of limits in one notice, so that it fits into a datagram.
MAX_NOTICE_RATE_LIMITS = 500
# Interval in seconds at which the first owner checks whether a limit has
# ended.
RATE_LIMIT_CHECK_INTERVAL_S = 1.0

# Multiples of the longest time that requests of a route have taken lately,
# which must be left before a stopping process ends: for requests that may be
# repeated, and for others.
STOP_DURATION_FACTOR = 1.5
STOP_ONCE_DURATION_FACTOR = 3.0
# Time in seconds for which a request's duration counts at least; it counts for
# at most twice as long.
STOP_DURATION_WINDOW_S = 15.0
