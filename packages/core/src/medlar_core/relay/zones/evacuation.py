"""Availability zones that the operators have evacuated."""

import msgspec

from ...ids import PlaceName


class EvacuatedPlaces(msgspec.Struct, frozen=True, array_like=True):
    """The places whose servers get no new flows, as of a store revision.

    ``revision`` is 0 if the sender has not read it; a later revision
    replaces an earlier one.
    """

    revision: int = 0
    places: tuple[PlaceName, ...] = ()
