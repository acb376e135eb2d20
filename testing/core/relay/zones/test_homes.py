"""Routes whose flows are confined to the servers of some regions."""

import msgspec
import pytest

from medlar_core.ids import RegionName
from medlar_core.packets import Flag
from medlar_core.relay.zones.homes import Homes
from medlar_core.relay.zones.settings import PlaceRegion
from medlar_core.relay.zones.settings import ZoneSettings

from ..kit import DESK
from ..kit import table
from .kit import A
from .kit import B
from .kit import C
from .kit import IN_FORCE_S
from .kit import ZoneFleet

NORTH, SOUTH = RegionName("north"), RegionName("south")
SETTINGS = ZoneSettings(
    True,
    regions=(
        PlaceRegion(A, NORTH),
        PlaceRegion(B, NORTH),
        PlaceRegion(C, SOUTH),
    ),
)


@pytest.fixture
def fleet():
    fleet = ZoneFleet(zones=SETTINGS)
    (route,) = table(2, DESK).routes
    route = msgspec.structs.replace(route, regions=(NORTH,))
    cfg = msgspec.structs.replace(table(2, DESK), routes=(route,))
    fleet.configure(cfg)
    fleet.run(IN_FORCE_S)
    return fleet


def test_a_place_without_a_region_is_in_no_home():
    homes = Homes(SETTINGS)
    assert homes.allow(A, (NORTH,))
    assert not homes.allow(C, (NORTH,))
    assert not homes.allow("elsewhere", (NORTH,))
    assert homes.allow("elsewhere", ())


def test_flows_stay_in_the_regions_of_their_route(fleet):
    assert fleet.share_after(C, count=60) == (0, 60)


def test_flows_are_refused_if_their_regions_are_evacuated(fleet):
    fleet.evacuate(A)
    fleet.run(IN_FORCE_S)
    assert fleet.share_after(C) == (0, 40)
    fleet.evacuate(B)
    fleet.run(IN_FORCE_S)
    opened = fleet.load(count=20)
    assert fleet.reset_count(opened) == 20
    assert not any(fleet.packet_count(f, Flag.SYN) for f in opened)
