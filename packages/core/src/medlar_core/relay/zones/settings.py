"""What a deployment settles about its availability zones."""

import msgspec

from ...ids import PlaceName
from ...ids import RegionName


class PlaceRegion(msgspec.Struct, frozen=True):
    """The region of a place."""

    place: PlaceName
    region: RegionName


class ZoneSettings(msgspec.Struct, frozen=True):
    """Which of the rules for places and cold servers apply.

    ``evacuates`` tells that operators may evacuate places. A cold server
    gets at most its configured requests a second, times ``cold_overage``,
    and ``cold_slack`` more; an overage of 0 means that there is no limit.
    """

    evacuates: bool = False
    cold_overage: float = 0.0
    cold_slack: float = 0.0
    regions: tuple[PlaceRegion, ...] = ()


NO_ZONE_RULES = ZoneSettings()
