"""Answering the beats of agents and balancers."""

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


class Answers:
    """Makes answers that say only what the other does not know."""

    def __init__(self, me: NodeId, table: Table, rng: random.Random) -> None:
        self._me = me
        self._table = table
        self._rng = rng

    def agrees(self, src: NodeId, beat: Beat) -> bool:
        """Return whether the process is known as its beat says."""
        held = self._table.live.get(src)
        told = (beat.incarnation, beat.seq)
        return held is not None and told == (held.incarnation, held.seq)

    def to(
        self,
        src: NodeId,
        beat: Beat,
        watchers: tuple[NodeId, ...],
        others: list[NodeId],
        down: tuple[PlaceName, ...],
    ) -> list[Send]:
        """Return the answer to a beat, if one is needed."""
        record = self._table.get(src)
        if record is None:
            return [Send(src, Ack(beat.incarnation, UNKNOWN_SEQ, 0, 0))]
        moved = bool(watchers) and watchers_checksum(watchers) != beat.watchers
        news = None
        if record.role is Role.SERVER:
            news = self._table.service_since(
                record.service, beat.seen, beat.holds
            )
        quiet = beat.seen and not (beat.want or moved or news)
        if quiet and self.agrees(src, beat):
            return []
        whole, changed = news or (False, [])
        peers = self._some(others) if moved or whole else ()
        ack = Ack(
            record.incarnation,
            record.seq,
            int(not record.live),
            self._table.version,
            watchers if moved else (),
            peers,
            whole,
            pack(changed),
            down,
        )
        return [Send(src, ack)]

    def _some(self, others: list[NodeId]) -> tuple[NodeId, ...]:
        chosen = self._rng.sample(others, min(PEERS - 1, len(others)))
        return (self._me, *chosen)
