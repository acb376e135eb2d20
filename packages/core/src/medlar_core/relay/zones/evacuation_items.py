"""Evacuated places as the store's items tell them."""

from ...ids import PlaceName
from ...store import Revision
from ..store_watcher import Change
from ..store_watcher import Snapshot
from .evacuation import EvacuatedPlaces


class EvacuationItems:
    """Follows the items under a prefix, each named after a place.

    That the item exists is the request, until it is deleted; its value is
    not read, so that an unknown one does not undo the request. A key that
    names no place is ignored and returned once by ``pop_unreadable``.
    """

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._places: set[PlaceName] = set()
        self._ignored: set[str] = set()
        self._unreadable: list[str] = []

    def apply(
        self, result: Snapshot | Change, revision: Revision
    ) -> EvacuatedPlaces:
        """Return the evacuated places as of the revision of an answer."""
        if isinstance(result, Snapshot):
            self._places = set()
        else:
            self._places.difference_update(map(self._place, result.deleted))
        found = {self._read(item.key) for item in result.items}
        self._places.update(found)
        self._places.discard(PlaceName(""))
        return EvacuatedPlaces(revision, tuple(sorted(self._places)))

    def pop_unreadable(self) -> list[str]:
        """Return the keys ignored since the last call."""
        keys, self._unreadable = self._unreadable, []
        return keys

    def _read(self, key: str) -> PlaceName:
        """Return the place of a written key, empty for none."""
        if not key.startswith(self._prefix):
            return PlaceName("")
        place = self._place(key)
        if not place and key not in self._ignored:
            self._ignored.add(key)
            self._unreadable.append(key)
        return place

    def _place(self, key: str) -> PlaceName:
        """Return the place that a key names, empty for none."""
        if not key.startswith(self._prefix):
            return PlaceName("")
        name = key.removeprefix(self._prefix)
        return PlaceName("" if "/" in name else name)
