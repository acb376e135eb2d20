"""The newest evacuated places that a process knows."""

import msgspec

from ...ids import PlaceName
from .evacuation import EvacuatedPlaces


class EvacuationChange(msgspec.Struct, frozen=True):
    """What a later revision has changed."""

    revision: int
    evacuated: tuple[PlaceName, ...]
    taken_back: tuple[PlaceName, ...]

    @property
    def text(self) -> str:
        """What has changed, for a log line."""
        parts = []
        if self.evacuated:
            parts.append(f"evacuated {', '.join(self.evacuated)}")
        if self.taken_back:
            parts.append(f"taken back {', '.join(self.taken_back)}")
        return "; ".join(parts) or "none evacuated"


class KnownEvacuation:
    """Keeps the newest revision; an earlier one never replaces it."""

    def __init__(self) -> None:
        self.current = EvacuatedPlaces()

    @property
    def is_known(self) -> bool:
        """Whether any revision has been learnt."""
        return self.current.revision > 0

    def learn(self, found: EvacuatedPlaces) -> EvacuationChange | None:
        """Apply what was read or received; return what it changes."""
        old = self.current
        if found.revision <= old.revision:
            return None
        self.current = found
        is_first = not old.revision
        if found.places == old.places and not is_first:
            return None
        before, after = set(old.places), set(found.places)
        return EvacuationChange(
            found.revision,
            tuple(sorted(after - before)),
            tuple(sorted(before - after)),
        )
