"""Limits of the flow part, with their units."""

MAX_HOPS = 5
"""Agents that a packet may pass."""

SPILL_HOPS = 2
"""Agents after which a new flow is passed on no more for balance."""

CANDIDATES_PER_BUCKET = 6
"""Candidates kept per bucket, the best first."""

PAST_OWNERS_PER_BUCKET = 4
"""Earlier owners kept per bucket."""

MIN_VIEW_INTERVAL_S = 0.1
"""Shortest time between two views taken in, in seconds."""

VIEW_INTERVAL_PER_SERVER_S = 0.0002
"""What each server in view adds to that time, in seconds."""

TABLE_CACHE_SIZE = 16
"""Tables kept in case that members change back."""

HALF_OPEN_LIMIT = 4096
"""Flows of one agent that no caller's packet has proved yet."""

HALF_OPEN_TIMEOUT_S = 10.0
"""Longest life of an unproved flow, in seconds."""

IDLE_TIMEOUT_S = 7440.0
"""Longest silence of an established flow, in seconds."""

CLOSING_LIFETIME_S = 10.0
"""How long an ended flow try_acquire late packets, in seconds."""

SPILL_SHARE = 1.13
"""Load over the mean above which new flows are passed on."""

SPILL_SLACK = 0.25
"""Standard deviations of chance arrivals that are no overload."""

BYTES_PER_S = 2000
"""Control bytes that the flow part of an agent may send, per second."""

BURST_BYTES = 6000
"""Control bytes that it may send at once after a pause."""

KEYS_PER_BATCH = 90
"""Flow keys in one message, so that it fits one datagram."""

RETRANSMIT_S = 1.0
"""Wait for an acknowledgement before a batch is sent again."""

DIRECTORY_LIFETIME_S = 7200.0
"""Life of a location that its holder does not tell again, in seconds."""

REANNOUNCE_INTERVAL_S = 3000.0
"""Time after which a holder tells its displaced flows again."""

RESET_DELAY_S = 5.0
"""How long a view must stand, or a member be gone, before a reset."""

MAX_LOOKUPS = 256
"""PendingLookups for flows that an agent has open at a time."""

LOOKUP_TIMEOUT_S = 2.0
"""Wait for the answers of one search, in seconds."""

LOOKUP_INTERVAL_S = 0.1
"""Wait before the next round of searches per member asked, in seconds."""

MISSES_PER_S = 5.0
"""Messages about packets that missed their flow, per second."""

LOOKUP_FANOUT = 32
"""Members asked in one search."""

HINT_FANOUT = 2
"""Balancers that a balancer try_acquire a hint batch on to."""

HINT_TRIES = 5
"""Times that a hint batch is sent to one balancer."""

WARMTH_STEPS = 8
"""Steps by which the share of a warming server rises."""

FORMER_SERVICES_PER_ADDRESS = 4
"""Earlier services remembered per address."""

SPILLED_LIMIT = 4096
"""Unproved flows whose next server an agent remembers."""

MERGE_ENTRIES = 256
"""New locations kept apart before they join the compact directory."""

IDLE_SWEEP_INTERVAL_S = 30.0
"""Time between two looks for idle flows, in seconds."""

DEPARTED_LIFETIME_S = 300.0
"""How long an agent remembers that a member is gone, in seconds."""

DEAD_PROBES = 3
"""Failed probes in a row after which a server counts as dead."""

LOAD_REPORT_INTERVAL_S = 0.5
"""Shortest time between two load reports, in seconds."""

RECORDS_PER_S = 5.0
"""Time-line events about refused packets, per second."""

SEEN_BATCHES_LIMIT = 4096
"""Hint batches remembered, to tell repeats."""

HINT_PARTS_MIN = 4
"""Slices in which a new balancer asks for the hints of its peers."""

PEERS_PER_PART = 4
"""Balancers per slice of hints."""

HINT_QUERY_INTERVAL_S = 0.5
"""Time between two questions for slices of hints, in seconds."""

HINTS_LIMIT = 400_000
"""Hints that a balancer keeps."""

BATCH_BYTES = 230
"""Bytes of a control message beside its keys."""

SPILL_CANDIDATES = 4
"""Members among which a flow that is passed on finds the emptiest."""

INTRODUCTION_TIMEOUT_S = 3.0
"""Longest wait for members to know a new agent, in seconds."""

INTRODUCED_LIFETIME_S = 60.0
"""How long a name counts that membership has not told, in seconds."""

DENIAL_INTERVAL_S = 10.0
"""Time between two denials by all members before a reset, in seconds.

Within it any change of members or configuration is known everywhere.
"""

DENIALS_LIMIT = 1024
"""First denials that an agent remembers."""

LOAD_GROWTH_S = 2.0
"""How far the growth of the mean load is carried on, in seconds."""

CLOSING_LIMIT = 8192
"""Closed flows that an agent keeps for late packets."""

ANNOUNCE_DELAY_S = 5.0
"""Wait before an owner is told of a flow that it passed on, in seconds."""

HINT_INTERVAL_S = 0.2
"""Time in which new hints are gathered into one batch, in seconds."""
