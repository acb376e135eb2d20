"""Replay protection for sealed messages."""

import enum

from ..ids import NodeId

WINDOW_S = 30.0
"""Largest accepted difference between a stamp and the local clock."""
WINDOW_MESSAGES = 1024
"""Counters below the newest of a sender that are still accepted."""
MAX_SENDERS = 16_384
_MASK = (1 << WINDOW_MESSAGES) - 1


class ReplayCheck(enum.Enum):
    """Result of the replay check of a message."""

    NEW = "new"
    REPLAYED = "replayed"
    STALE = "stale"
    FULL = "full"


class _Sender:
    """Newest counter of one run of a sender, and a bitmap of recent ones."""

    __slots__ = ("bits", "expires_at", "newest")

    def __init__(self) -> None:
        self.newest = -1
        self.bits = 0
        self.expires_at = 0.0


class ReplayWindow:
    """Bounded record of the messages received from each run of a sender.

    An epoch, which a sender chooses at its start, identifies the run. A
    run is evicted only when the stamps of all its messages are too old
    to be accepted.
    """

    def __init__(self, max_senders: int = MAX_SENDERS) -> None:
        self._max = max_senders
        self._senders: dict[tuple[NodeId, int], _Sender] = {}

    def __len__(self) -> int:
        """Return the number of recorded runs."""
        return len(self._senders)

    def check(
        self, now: float, src: NodeId, epoch: int, counter: int, sent: float
    ) -> ReplayCheck:
        """Check an authenticated message and record it if it is new."""
        if abs(now - sent) > WINDOW_S:
            return ReplayCheck.STALE
        sender = self._senders.get((src, epoch))
        if sender is None:
            sender = self._add(now, src, epoch)
            if sender is None:
                return ReplayCheck.FULL
        # After this time, the stamps of all messages so far are too old.
        sender.expires_at = max(sender.expires_at, sent + 2 * WINDOW_S)
        return _check_counter(sender, counter)

    def _add(self, now: float, src: NodeId, epoch: int) -> _Sender | None:
        if len(self._senders) >= self._max:
            self._evict_expired(now)
        if len(self._senders) >= self._max:
            return None
        sender = _Sender()
        self._senders[src, epoch] = sender
        return sender

    def _evict_expired(self, now: float) -> None:
        self._senders = {
            run: sender
            for run, sender in self._senders.items()
            if sender.expires_at >= now
        }


def _check_counter(sender: _Sender, counter: int) -> ReplayCheck:
    ahead = counter - sender.newest
    if ahead > 0:
        kept = sender.bits << ahead if ahead < WINDOW_MESSAGES else 0
        sender.bits = (kept | 1) & _MASK
        sender.newest = counter
        return ReplayCheck.NEW
    if -ahead >= WINDOW_MESSAGES:
        return ReplayCheck.STALE
    bit = 1 << -ahead
    if sender.bits & bit:
        return ReplayCheck.REPLAYED
    sender.bits |= bit
    return ReplayCheck.NEW
