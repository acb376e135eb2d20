"""How long the local server works on a request, as its packets show."""

from ...ids import Seconds

HALF_LIFE_S = 0.5
"""A measurement counts half after this: a server that is cold or has slowed
down shows within seconds."""
EXPIRY_S = 10.0
"""The service time is unknown once the last measurement is older."""
MIN_SAMPLES = 3.0
"""Weight of the measurements from which on single long ones are limited."""
MAX_SAMPLE_RATIO = 5.0
"""Largest measurement that counts, relative to the mean."""
UNLIMITED_S = 0.05
"""A measurement up to this always counts: else the mean of some requests that
were rejected at once would stay."""


class ServiceTime:
    """Measures the server's work on requests, without their time in queue.

    Answers uneven servers whose speed nobody announces, short work with a
    heavy tail, and flows that stay open for long between two requests. The
    server works on ``slots`` requests at a time, in the order in which
    they arrive; a request begins with the last data that its caller sent, and
    ends with the first data of the response. ``key`` identifies a flow, which
    has one request at a time.
    """

    def __init__(self) -> None:
        self.slots = 1
        self._started_at: dict[int, float] = {}
        self._queued_at: dict[int, float] = {}
        self._response_at = 0.0
        self._mean_s = 0.0
        self._weight = 0.0
        self._measured_at = 0.0

    def record_request(self, now: Seconds, key: int) -> None:
        """Record data of a request that was delivered to the server."""
        if key in self._started_at:
            self._started_at[key] = now
        elif key in self._queued_at:
            self._queued_at[key] = now
        elif len(self._started_at) < self.slots:
            self._started_at[key] = now
        else:
            self._queued_at[key] = now

    def record_response(self, now: Seconds, key: int) -> None:
        """Record that the server has begun to respond to a request.

        Data that no request has asked for is ignored.
        """
        started_at = self._started_at.pop(key, None)
        queued_at = self._queued_at.pop(key, None)
        if started_at is None:
            if queued_at is None:
                return
            started_at = max(queued_at, self._response_at)
        self._response_at = now
        self._add(now, now - started_at)
        self._start_next(now)

    def remove(self, now: float, key: int) -> None:
        """Forget the request of a flow that gets no response."""
        self._queued_at.pop(key, None)
        if self._started_at.pop(key, None) is not None:
            self._start_next(now)

    def mean_ms(self, now: Seconds) -> float:
        """Return the mean work on a request in ms, 0 if unknown."""
        if not self._weight or now - self._measured_at > EXPIRY_S:
            return 0.0
        return 1_000.0 * self._mean_s

    def longest_ms(self, now: Seconds) -> float:
        """Return for how long the server works on its oldest request."""
        oldest = min(self._started_at.values(), default=now)
        return 1_000.0 * (now - oldest)

    def _add(self, now: Seconds, sample_s: float) -> None:
        if now - self._measured_at > EXPIRY_S:
            self._weight = 0.0
        age_s = now - self._measured_at
        self._weight *= 0.5 ** (age_s / HALF_LIFE_S)
        if self._weight >= MIN_SAMPLES:
            limit_s = max(MAX_SAMPLE_RATIO * self._mean_s, UNLIMITED_S)
            sample_s = min(sample_s, limit_s)
        self._measured_at = now
        self._weight += 1.0
        self._mean_s += (sample_s - self._mean_s) / self._weight

    def _start_next(self, now: float) -> None:
        if self._queued_at and len(self._started_at) < self.slots:
            key = next(iter(self._queued_at))
            del self._queued_at[key]
            self._started_at[key] = now
