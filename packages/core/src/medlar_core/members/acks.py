"""Acknowledgements of heartbeats of agents and balancers."""

import random

from ..effects import Send
from ..ids import NodeId
from ..ids import PlaceName
from .messages import Ack
from .messages import Beat
from .record import pack
from .record import Role
from .reporter import PEERS
from .reporter import watchers_checksum
from .table import Table

UNKNOWN_SEQ = -1


class AckBuilder:
    """Builds acks that hold only what the receiver does not know yet."""

    def __init__(self, me: NodeId, table: Table, rng: random.Random) -> None:
        self._me = me
        self._table = table
        self._rng = rng

    def agrees(self, src: NodeId, beat: Beat) -> bool:
        """Return whether a heartbeat matches the record of its sender."""
        held = self._table.live.get(src)
        announced = (beat.incarnation, beat.seq)
        return held is not None and announced == (held.incarnation, held.seq)

    def to(
        self,
        src: NodeId,
        beat: Beat,
        watchers: tuple[NodeId, ...],
        others: list[NodeId],
        down: tuple[PlaceName, ...],
    ) -> list[Send]:
        """Return the ack of a heartbeat, or nothing if none is needed."""
        record = self._table.get(src)
        if record is None:
            return [Send(src, Ack(beat.incarnation, UNKNOWN_SEQ, 0, 0))]
        reassigned = (
            bool(watchers) and watchers_checksum(watchers) != beat.watchers
        )
        changes = None
        if record.role is Role.SERVER:
            changes = self._table.service_since(
                record.service, beat.seen, beat.holds
            )
        nothing_new = beat.seen and not (beat.want or reassigned or changes)
        if nothing_new and self.agrees(src, beat):
            return []
        full, changed = changes or (False, [])
        peers = self._some(others) if reassigned or full else ()
        ack = Ack(
            record.incarnation,
            record.seq,
            int(not record.live),
            self._table.version,
            watchers if reassigned else (),
            peers,
            full,
            pack(changed),
            down,
        )
        return [Send(src, ack)]

    def _some(self, others: list[NodeId]) -> tuple[NodeId, ...]:
        chosen = self._rng.sample(others, min(PEERS - 1, len(others)))
        return (self._me, *chosen)
