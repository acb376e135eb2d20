"""Whether an agent's server gets new flows, by its place and its warmth."""

import msgspec

from ...ids import PlaceName
from ...ids import Seconds
from .cold_limit import ColdLimit
from .evacuation import EvacuatedPlaces
from .known_evacuation import EvacuationChange
from .known_evacuation import KnownEvacuation
from .settings import ZoneSettings

UNKNOWN_LIMIT_S = 3.0
"""An agent that hears configured balancers for so long, and of no
evacuation, takes new flows: these are of a version that knows none."""


class PlaceNews(msgspec.Struct, frozen=True):
    """What a balancer's hello message told.

    ``version`` is of its configuration, 0 if it has none or tells that of
    another service.
    """

    version: int
    evacuated: EvacuatedPlaces
    cold_per_s: float


class OwnPlace:
    """Decides last for the server of one agent, whoever placed a flow.

    Until the agent has heard which places are evacuated, and what a cold
    server bears, its server gets no new flows. A balancer knows both before
    it forwards any, unless it is of an earlier version.
    """

    def __init__(self, place: PlaceName, settings: ZoneSettings) -> None:
        self.known = KnownEvacuation()
        self.cold = ColdLimit(settings)
        self.declined_count = 0
        self._place = place
        self._is_used = settings.evacuates
        self._is_configured = False
        """Whether a balancer that has a configuration has told both."""
        self._unknown_since: float | None = None

    def apply(self, now: Seconds, news: PlaceNews) -> EvacuationChange | None:
        """Apply a hello message; return what it changes."""
        if not self._is_used:
            return None
        if news.version and self._unknown_since is None:
            self._unknown_since = now
        if news.version and news.evacuated.revision:
            self.cold.configure(news.version, news.cold_per_s)
            self._is_configured = True
        change = self.known.learn(news.evacuated)
        if change is not None and self._place in change.taken_back:
            self.cold.handle_taken_back(now)
        return change

    def handle_other_service(self) -> None:
        """Forget what a cold server of the service before bears."""
        self.cold.forget_limit()
        self._is_configured = False
        self._unknown_since = None

    def is_closed(self, now: Seconds) -> bool:
        """Return whether the server gets no new flows for its place."""
        if self._place in self.known.current.places:
            return True
        return self.is_unknown(now)

    def is_unknown(self, now: Seconds) -> bool:
        """Return whether the agent has yet to hear of both."""
        if not self._is_used or self._is_configured:
            return False
        since = self._unknown_since
        return since is None or now - since < UNKNOWN_LIMIT_S

    def gauges(self) -> dict[str, float]:
        """Return the current gauge values by metric name."""
        return {
            "places_evacuated": len(self.known.current.places),
            "flows_declined_for_place": self.declined_count,
        }
