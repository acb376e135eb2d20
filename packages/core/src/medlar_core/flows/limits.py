"""Limits of the flow reducers."""

MAX_HOPS = 5
"""Maximum number of agents on the path of a packet."""

SPILL_HOPS = 2
"""Hops after which a new flow is no longer forwarded to balance load."""

CANDIDATES_PER_BUCKET = 6
"""Candidates kept per bucket, the best first."""

PAST_OWNERS_PER_BUCKET = 4
"""Earlier owners kept per bucket."""

MIN_VIEW_INTERVAL_S = 0.1
"""Minimum time between two applied views, in seconds."""

VIEW_INTERVAL_PER_SERVER_S = 0.0002
"""Seconds that each server in view adds to that minimum."""

TABLE_CACHE_SIZE = 16
"""Tables cached in case a change of members is undone."""

HALF_OPEN_LIMIT = 4096
"""Maximum number of half-open flows of one agent."""

HALF_OPEN_TIMEOUT_S = 10.0
"""Time after which a half-open flow is removed, in seconds."""

IDLE_TIMEOUT_S = 7440.0
"""Time without packets after which a flow is removed, in seconds."""

CLOSING_LIFETIME_S = 10.0
"""Time for which a closed flow is kept for late packets, in seconds."""

SPILL_SHARE = 1.13
"""Load relative to the mean above which new flows are forwarded."""

SPILL_SLACK = 0.25
"""Tolerance for random arrivals, in standard deviations."""

BYTES_PER_S = 2000
"""Control bytes that the flow reducer of an agent may send, per second."""

BURST_BYTES = 6000
"""Control bytes that it may send at once after a time without sending."""

KEYS_PER_BATCH = 90
"""Flow keys in one message, so that it fits one datagram."""

RETRANSMIT_S = 1.0
"""Time without acknowledgement before a retransmission, in seconds."""

DIRECTORY_LIFETIME_S = 7200.0
"""Time after which a location that is not repeated expires, in seconds."""

REANNOUNCE_INTERVAL_S = 3000.0
"""Time between two announcements of a displaced flow, in seconds."""

RESET_DELAY_S = 5.0
"""Time since a holder's departure before its flows are reset, in seconds."""

MAX_LOOKUPS = 256
"""Maximum number of pending lookups of an agent."""

LOOKUP_TIMEOUT_S = 2.0
"""Time after which an unanswered lookup is removed, in seconds."""

LOOKUP_INTERVAL_S = 0.1
"""Time before the next round of lookups, in seconds per member asked."""

MISSES_PER_S = 5.0
"""Messages about packets whose flow was not found, per second."""

LOOKUP_FANOUT = 32
"""Maximum number of members asked in one lookup."""

HINT_FANOUT = 2
"""Balancers to which a balancer relays a hint batch."""

HINT_TRIES = 5
"""Times that a hint batch is sent to one balancer."""

WARMTH_STEPS = 8
"""Steps in which the share of a warming server rises."""

FORMER_SERVICES_PER_ADDRESS = 4
"""Earlier services kept per address."""

SPILLED_LIMIT = 4096
"""Forwarded new flows whose target an agent records."""

MERGE_ENTRIES = 256
"""Minimum number of new locations before they are merged."""

IDLE_SWEEP_INTERVAL_S = 30.0
"""Time between two checks for idle flows, in seconds."""

DEPARTED_LIFETIME_S = 300.0
"""Time for which an agent records a member's departure, in seconds."""

DEAD_PROBES = 3
"""Failed probes in a row after which a server is considered dead."""

LOAD_REPORT_INTERVAL_S = 0.5
"""Minimum time between two load reports, in seconds."""

RECORDS_PER_S = 5.0
"""Timeline events about dropped packets and resets, per second."""

SEEN_BATCHES_LIMIT = 4096
"""Hint batches recorded to detect duplicates."""

HINT_PARTS_MIN = 4
"""Minimum number of slices in which a new balancer fetches hints."""

PEERS_PER_PART = 4
"""Balancers per slice of hints."""

HINT_QUERY_INTERVAL_S = 0.5
"""Time between two requests for slices of hints, in seconds."""

HINTS_LIMIT = 400_000
"""Maximum number of hints of a balancer."""

BATCH_BYTES = 230
"""Bytes of a control message without its keys."""

SPILL_CANDIDATES = 4
"""Members among which the least loaded one gets a forwarded flow."""

INTRODUCTION_TIMEOUT_S = 3.0
"""Maximum wait for members to acknowledge a new agent, in seconds."""

INTRODUCED_LIFETIME_S = 60.0
"""Time for which an introduction counts without membership, in seconds."""

DENIAL_INTERVAL_S = 10.0
"""Minimum time between two denials by all members, in seconds.

Within it every change of members or configuration reaches every process.
"""

DENIALS_LIMIT = 1024
"""Maximum number of first denials that an agent records."""

LOAD_GROWTH_S = 2.0
"""Time for which the growth of the mean load is extrapolated, in seconds."""

CLOSING_LIMIT = 8192
"""Maximum number of closed flows that an agent keeps for late packets."""

ANNOUNCE_DELAY_S = 5.0
"""Delay before a flow is announced to the owner that sent it, in seconds."""

HINT_INTERVAL_S = 0.2
"""Time for which new hints are collected into one batch, in seconds."""
