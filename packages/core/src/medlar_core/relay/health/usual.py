"""How the responses of one address usually look, by time and size."""

import msgspec

BRIEF_TIME_SHARE = 0.15
"""A response is brief if it takes less of the usual service time, ..."""
BRIEF_SIZE_SHARE = 0.4
"""... and if it has less of the usual size."""
LEARNED_RESPONSES = 20
"""Responses to be seen before a brief one tells anything."""
RECENT_RESPONSES = 16
"""Number of responses that the usual times are the mean of."""
LONG_RUN_RESPONSES = 500
"""The same for sizes and the share of brief responses, which belong to the
work that callers ask for."""
MAX_USUAL_BRIEF_SHARE = 0.2
"""Where callers' work has more brief responses, these tell nothing."""


class UsualResponse(msgspec.Struct):
    """Running means over the responses of one address.

    ``service_s`` counts from the later of the request and the response
    before it, so that waiting in a queue is left out.
    """

    count: int = 0
    response_s: float = 0.0
    service_s: float = 0.0
    size: float = 0.0
    brief_share: float = 0.0

    @property
    def brief_weight(self) -> float:
        """How much a brief response tells, from 0 to 1."""
        if self.count < LEARNED_RESPONSES:
            return 0.0
        return max(0.0, 1.0 - self.brief_share / MAX_USUAL_BRIEF_SHARE)

    def is_brief(self, response_s: float, size: int) -> bool:
        """Return whether a response is far faster and smaller than usual.

        An error or a refusal looks so. Neither of the two is enough alone.
        """
        if response_s >= BRIEF_TIME_SHARE * self.service_s:
            return False
        return size < BRIEF_SIZE_SHARE * self.size

    def record(
        self, response_s: float, service_s: float, size: int, is_brief: bool
    ) -> None:
        """Add a response to the means; brief ones have no usual times."""
        self.count += 1
        long_run = 1.0 / min(self.count, LONG_RUN_RESPONSES)
        self.brief_share += long_run * (is_brief - self.brief_share)
        if is_brief:
            return
        recent = 1.0 / min(self.count, RECENT_RESPONSES)
        self.size += long_run * (size - self.size)
        self.response_s += recent * (response_s - self.response_s)
        self.service_s += recent * (service_s - self.service_s)
