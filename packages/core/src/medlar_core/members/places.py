"""Regions of places and warm-up times of services."""

from collections.abc import Mapping

from ..config.model import Configuration
from ..ids import PlaceName
from ..ids import RegionName
from ..ids import Seconds
from ..ids import ServiceName

DEFAULT_WARM_S = 10.0


class Places:
    """Regions of places and warm-up times, from the configuration.

    Places that the configuration does not name count as one region.
    """

    def __init__(
        self, regions: Mapping[PlaceName, RegionName] | None = None
    ) -> None:
        self._regions = dict(regions or {})
        self._warm_s: dict[ServiceName, float] = {}

    def take(self, cfg: Configuration) -> None:
        """Apply the configuration that is now in force."""
        self._regions = {place.name: place.region for place in cfg.places}
        self._warm_s = {svc.name: svc.warm_s for svc in cfg.services}

    def region(self, place: PlaceName) -> RegionName:
        """Return the region of a place, empty if unknown."""
        return self._regions.get(place, RegionName(""))

    def warm_s(self, service: ServiceName) -> Seconds:
        """Return how long a server of the service takes to warm up."""
        return Seconds(self._warm_s.get(service, DEFAULT_WARM_S))
