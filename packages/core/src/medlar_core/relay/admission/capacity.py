"""When a server has room for a further flow, by its measured times."""

import math

import msgspec

from ...ids import Seconds

FIRST_ROUND_TRIP_S = 0.02
"""Assumed until a handshake was seen."""
MAX_ROUND_TRIP_S = 0.1
"""A longer time tells of a queue or a lost packet on the caller's link, which
others may not share."""
AVERAGE_WEIGHT = 0.125
"""Weight of a new figure in a moving average, as in TCP's round-trip time."""
MAX_SAMPLE_RATIO = 8.0
"""Longest work on one request that counts, relative to the mean."""
HANDSHAKE_ROUND_TRIPS = 4.0
"""A caller that has not finished its handshake after so many round trips is
taken to have gone: it occupies no slot."""
MIN_REQUEST_S = 0.3
MAX_REQUEST_S = 1.0
REQUEST_SERVICE_TIMES = 10.0
"""Service times after which a request without an answer is taken to be lost
on its way; several may have waited at the server before it."""
SPREAD_REQUESTS = 0.5
"""Requests that wait at a server beyond those that end within a round trip,
as some take less time than the mean."""


class ServerLoad(msgspec.Struct, frozen=True):
    """Load of one server.

    ``pending`` counts the flows that were delivered to it and wait for a
    response, also those whose handshake is under way. ``service_s`` is the
    mean time that it works on a request, 0 if unknown, ``round_trip_s`` the
    time from a SYN to the caller's request.
    """

    pending: int
    slots: int
    service_s: float
    round_trip_s: float

    @property
    def has_room(self) -> bool:
        """Whether a slot is free by the time a request arrives.

        A flow is opened that much ahead, so that no slot is idle meanwhile.
        """
        return self.pending < self.slots + self._ahead

    @property
    def _ahead(self) -> int:
        if not self.service_s:
            return self.slots
        ended = self.slots * self.round_trip_s / self.service_s
        return math.ceil(ended + SPREAD_REQUESTS)

    def wait_s(self, before: float) -> float:
        """Return the expected wait for a slot behind ``before`` held flows.

        0 if the service time is unknown.
        """
        waiting = self.pending + before + 1 - self.slots
        return max(0.0, waiting) * self.service_s / max(1, self.slots)


class Timings:
    """Round trips to callers and service times of one server, as seen."""

    def __init__(self) -> None:
        self.round_trip_s = FIRST_ROUND_TRIP_S
        self.service_s = 0.0
        self._answered_at = float("-inf")

    @property
    def handshake_s(self) -> float:
        """Longest time of a handshake whose caller is still there."""
        return HANDSHAKE_ROUND_TRIPS * max(
            self.round_trip_s, FIRST_ROUND_TRIP_S
        )

    @property
    def request_s(self) -> float:
        """Longest time of a request that still occupies the server.

        A caller may be gone without a word, or its packets lost.
        """
        usual_s = REQUEST_SERVICE_TIMES * self.service_s
        return min(MAX_REQUEST_S, max(MIN_REQUEST_S, usual_s))

    def record_round_trip(self, seconds: float) -> None:
        """Record the time from a SYN to the caller's next packet."""
        seconds = min(seconds, MAX_ROUND_TRIP_S)
        self.round_trip_s += AVERAGE_WEIGHT * (seconds - self.round_trip_s)

    def record_answer(
        self, now: Seconds, requested_at: float, pending: int, slots: int
    ) -> None:
        """Record the answer to a request that was complete at a time.

        ``pending`` flows wait at the server after it. A request that waited
        for a slot was started by the answer before it.
        """
        work_s = now - requested_at
        if pending + 1 >= slots:
            work_s = min(work_s, (now - self._answered_at) * slots)
        weight = 1.0
        if self.service_s:
            weight = AVERAGE_WEIGHT
            work_s = min(work_s, MAX_SAMPLE_RATIO * self.service_s)
        self.service_s += weight * (work_s - self.service_s)
        self._answered_at = now
