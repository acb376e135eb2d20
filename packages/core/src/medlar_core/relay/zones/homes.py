"""Regions to which the new flows of a route are confined."""

from ...ids import PlaceName
from .settings import ZoneSettings


class Homes:
    """Tells by its place whether a server may get a flow."""

    def __init__(self, settings: ZoneSettings) -> None:
        self._region_of = {
            entry.place: entry.region for entry in settings.regions
        }

    def allow(self, place: PlaceName, regions: tuple[str, ...]) -> bool:
        """Return whether servers of a place may get a flow.

        ``regions`` are those of its route, empty for all. A place whose
        region is unknown is in none of them.
        """
        return not regions or self._region_of.get(place) in regions
