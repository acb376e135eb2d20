"""Directory of the holders of flows whose buckets an agent owns."""

import msgspec
import numpy as np
import numpy.typing as npt

from ..ids import FlowKey
from ..ids import NodeId
from ..ids import Seconds
from .limits import DIRECTORY_LIFETIME_S
from .limits import MERGE_ENTRIES

_NONE = 0
_STAMP_UNIT_S = 60.0


class _Columns(msgspec.Struct):
    """Locations in three columns of equal length, sorted by key."""

    keys: npt.NDArray[np.uint64]
    holders: npt.NDArray[np.uint32]
    stamps: npt.NDArray[np.uint32]


def _make_columns(rows: list[tuple[FlowKey, int, int]]) -> _Columns:
    columns = list(zip(*rows, strict=True)) if rows else [(), (), ()]
    return _Columns(
        np.array(columns[0], np.uint64),
        np.array(columns[1], np.uint32),
        np.array(columns[2], np.uint32),
    )


class Directory:
    """Soft state that maps flow keys to holders.

    A wrong or missing location costs a hop, not a flow. Locations are kept
    in sorted arrays of 16 bytes each; new ones are collected in a small
    dict until there are enough of them to merge.
    """

    def __init__(self) -> None:
        self._holder_ids: list[NodeId] = [NodeId("")]
        self._holder_numbers: dict[NodeId, int] = {}
        self._recent: dict[FlowKey, tuple[int, int]] = {}
        self._compacted = _make_columns([])

    def __len__(self) -> int:
        kept = int(np.count_nonzero(self._compacted.holders))
        return kept + sum(1 for key in self._recent if self._index_of(key) < 0)

    def put(self, now: Seconds, key: FlowKey, holder: NodeId) -> None:
        """Set the holder of a flow, replacing any earlier one."""
        self._recent[key] = (
            self._holder_number(holder),
            int(now / _STAMP_UNIT_S),
        )
        if len(self._recent) >= max(
            MERGE_ENTRIES, len(self._compacted.keys) // 8
        ):
            self.merge(now)

    def get(self, key: FlowKey) -> NodeId | None:
        """Return the holder of a flow if it is known."""
        entry = self._recent.get(key)
        if entry is not None:
            return self._holder_ids[entry[0]]
        found = self._index_of(key)
        if found < 0:
            return None
        return self._holder_ids[int(self._compacted.holders[found])]

    def remove(self, key: FlowKey, holder: NodeId) -> None:
        """Remove a flow unless its location names another holder."""
        if self.get(key) != holder:
            return
        self._recent.pop(key, None)
        found = self._index_of(key)
        if found >= 0:
            self._compacted.holders[found] = _NONE

    def remove_holder(self, holder: NodeId) -> None:
        """Remove all flows of a holder."""
        number = self._holder_numbers.get(holder, _NONE)
        self._recent = {
            k: entry for k, entry in self._recent.items() if entry[0] != number
        }
        self._compacted.holders[self._compacted.holders == number] = _NONE

    def merge(self, now: Seconds) -> None:
        """Merge new locations into the arrays and remove expired ones."""
        rows = [(k, n, s) for k, (n, s) in self._recent.items()]
        new = _make_columns(sorted(rows))
        old = self._compacted
        oldest = max(0, int((now - DIRECTORY_LIFETIME_S) / _STAMP_UNIT_S))
        kept = (old.holders != _NONE) & (old.stamps >= oldest)
        keys = np.concatenate([old.keys[kept], new.keys])
        holders = np.concatenate([old.holders[kept], new.holders])
        stamps = np.concatenate([old.stamps[kept], new.stamps])
        order = np.argsort(keys, kind="stable")
        keys = keys[order]
        # Of two locations of a flow, keep the last one, which is newer.
        last = np.append(keys[1:] != keys[:-1], True)[: len(keys)]
        order = order[last]
        self._compacted = _Columns(keys[last], holders[order], stamps[order])
        self._recent = {}

    def _index_of(self, key: FlowKey) -> int:
        keys = self._compacted.keys
        index = int(np.searchsorted(keys, np.uint64(key)))
        if index == len(keys) or int(keys[index]) != key:
            return -1
        return index if self._compacted.holders[index] != _NONE else -1

    def _holder_number(self, holder: NodeId) -> int:
        number = self._holder_numbers.get(holder)
        if number is None:
            number = len(self._holder_ids)
            self._holder_ids.append(holder)
            self._holder_numbers[holder] = number
        return number
