"""Limits of the delivery over a listed fleet."""

from __future__ import annotations

# Seconds a load report may be old when a request is sent on it. The load of
# servers changes within milliseconds; a probe's round trip takes about two.
MAX_REPORT_AGE_S = 0.03

# Daemons of a data centre that wait for operators' changes: news is late only
# where all of them are harmed at once.
MAX_WATCHERS = 3
# Parts of the time within which operators' changes must be known: between two
# heartbeats of a daemon that waits; and of silence, until the next in
# order, and the last at the latest, waits itself. What is left is for the
# store's answer.
WATCH_HEARTBEAT_SHARE = 0.2
FIRST_TAKEOVER_SHARE = 0.5
LAST_TAKEOVER_SHARE = 0.7

# Part of the allowed probes that all daemons plan with.
PROBE_RATE_SHARE = 0.8
# Servers asked at once: three of which one in four is slow leave 1 in 64.
PROBES_PER_ROUND = 3
# Servers of the own data centre, and as many of the others, that one daemon
# uses for usual requests: enough that several are fast, few enough that a
# connection to each is used before it is idle for long.
SUBSET_SIZE = 8
# Rounds of probes before the best known server is taken.
MAX_PROBE_ROUNDS = 2
# Share of the target latency for which a request may wait for room.
MAX_WAIT_SHARE = 0.125
# A caller with this much less time than others of its route has sent before;
# below it is the way of its first request, in seconds.
MIN_ELAPSED_S = 0.05
# Pause between two looks for a server with room, in seconds: a request
# ends at a busy server every few milliseconds, each look costs probes.
WAIT_INTERVAL_S = 0.03
# Chance of a late answer up to which a request waits in a server's queue:
# one of the most urgent routes of its service, and any other.
MAX_LATE_PROBABILITY_URGENT = 0.85
MAX_LATE_PROBABILITY_OTHERS = 0.6

# Worth of an answer that comes late, as a share of one in time.
LATE_LOSS = 0.9
# Loss for each KiB that crosses between data centres, as a share of a
# request's worth; the default of the setting.
CROSSING_LOSS_PER_KIB = 0.05
# A server is taken at once when its chance of a late answer is below this.
GOOD_LATE_PROBABILITY = 0.05
# Exponent of the chance of a late answer: service times that spread by 0.3
# on a logarithmic scale give a logistic curve of about this slope.
LATE_PROBABILITY_EXPONENT = 5.0
# Weight of the expected latency among servers that are equally in time.
LATENCY_WEIGHT = 0.1
# Above this share of busy slots servers begin to slow down.
CROWDED_SHARE = 0.7
CROWDED_SLOWDOWN = 0.5
# First guess of a route's service time, as a share of its target latency.
INITIAL_SERVICE_TIME_SHARE = 0.4
# Seconds after which what was learned of a server's own speed counts half.
LATENCY_RATIO_HALF_LIFE_S = 2.0
# Slowdown expected of a server whose report is old: the mean over servers
# of which a quarter takes seven times as long.
UNKNOWN_SLOWDOWN = 2.5
# Seconds after which half of a load report is out of date.
REPORT_HALF_LIFE_S = 0.25

# Seconds for which a server that failed is avoided while others do.
AVOID_AFTER_FAILURE_S = 1.0
# Failures of this share make a server count as faulty.
FAILURE_HALF_LIFE_S = 4.0

# Daemons that may send to the same cold server; they divide its rate.
MAX_COLD_OWNERS = 4
# Part of a cold server's rate that is used, so that sends of one second
# never add up to more than it bears.
COLD_RATE_SHARE = 0.8

# Part of the extra calls that the users allow which one daemon plans with.
EXTRA_CALL_SHARE = 0.8
# Seconds of service time after which a late idempotent request is hedged
# in time: the target latency less this many service times.
HEDGE_SERVICE_TIMES = 1.25
# Share of the whole time after which an unanswered idempotent request is
# sent once more although it will be late.
HEDGE_LATE_SHARE = 0.5
# Looks for a second server of one request: one in time for the target
# latency, two so that the request is answered at all.
MAX_HEDGE_LOOKUPS = 3

# Crashes in all after which a request is held back.
MAX_CRASHES = 3
# Requests that are remembered as suspects.
MAX_SUSPECTS = 1000
# Seconds for which a suspect is remembered.
SUSPECT_TTL_S = 120.0

# Share of the time left within which a refused caller should come back;
# callers honour at most a third.
RETRY_AFTER_SHARE = 0.3
# Longest time for which a caller stays away after a refusal that is not for
# overload, and shortest after any, in seconds.
MAX_RETRY_AFTER_S = 0.2
MIN_RETRY_AFTER_S = 0.05

# Seconds for which entries that lapsed while the list could not be read are
# kept after its return; the platform has servers enter again within two.
MISSING_KEPT_S = 2.0
# Part of the longest age of the list after which the first daemon in line
# reads it; the others follow one by one until the longest age.
FIRST_READ_SHARE = 0.6
