"""Which sealed messages have been seen already."""

import enum

from ..ids import NodeId

WINDOW_S = 30.0
"""How far the stamp of a message may be from this process's clock."""
WINDOW_MESSAGES = 1024
"""How far a message may come behind the newest of its sender."""
MAX_SENDERS = 16_384
_MASK = (1 << WINDOW_MESSAGES) - 1


class Seen(enum.Enum):
    """What the window says of a message."""

    NEW = "new"
    REPLAYED = "replayed"
    STALE = "stale"
    FULL = "full"


class _Sender:
    """Newest counter of one run of a sender, and those just before."""

    __slots__ = ("bits", "newest", "until")

    def __init__(self) -> None:
        self.newest = -1
        self.bits = 0
        self.until = 0.0


class ReplayWindow:
    """Bounded memory of the messages of each run of each sender.

    A run is told by its epoch, which a sender draws at its start. What
    is forgotten here is refused by its stamp.
    """

    def __init__(self, max_senders: int = MAX_SENDERS) -> None:
        self._max = max_senders
        self._senders: dict[tuple[NodeId, int], _Sender] = {}

    def __len__(self) -> int:
        """Return how many runs are remembered."""
        return len(self._senders)

    def take(
        self, now: float, src: NodeId, epoch: int, counter: int, sent: float
    ) -> Seen:
        """Judge an authenticated message and remember it if it is new."""
        if abs(now - sent) > WINDOW_S:
            return Seen.STALE
        sender = self._senders.get((src, epoch))
        if sender is None:
            sender = self._add(now, src, epoch)
            if sender is None:
                return Seen.FULL
        # Any message of this run older than this is stale by its stamp.
        sender.until = max(sender.until, sent + 2 * WINDOW_S)
        return _mark(sender, counter)

    def _add(self, now: float, src: NodeId, epoch: int) -> _Sender | None:
        if len(self._senders) >= self._max:
            self._forget(now)
        if len(self._senders) >= self._max:
            return None
        sender = _Sender()
        self._senders[src, epoch] = sender
        return sender

    def _forget(self, now: float) -> None:
        self._senders = {
            run: held
            for run, held in self._senders.items()
            if held.until >= now
        }


def _mark(sender: _Sender, counter: int) -> Seen:
    ahead = counter - sender.newest
    if ahead > 0:
        kept = sender.bits << ahead if ahead < WINDOW_MESSAGES else 0
        sender.bits = (kept | 1) & _MASK
        sender.newest = counter
        return Seen.NEW
    if -ahead >= WINDOW_MESSAGES:
        return Seen.STALE
    bit = 1 << -ahead
    if sender.bits & bit:
        return Seen.REPLAYED
    sender.bits |= bit
    return Seen.NEW
