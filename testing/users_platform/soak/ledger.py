"""What callers and servers saw, and the promises that it breaks."""

import msgspec

DRAIN_S = 3.0
"""A server gets no new flow later than this after it said to leave."""
CONFIGURATION_S = 3.0
"""A configuration is in force everywhere within this."""
UNSTABLE_S = 12.0
"""What the bound of a configuration grows by while the store fails."""


class Broken(msgspec.Struct, frozen=True):
    """A promise that was broken."""

    at: float
    promise: str
    what: str


class Ledger:
    """Judges while a run goes on; times are seconds of one clock."""

    def __init__(self) -> None:
        self.broken: list[Broken] = []
        self.asked: dict[str, float] = {}
        """When each request was sent first, by its id."""
        self.served: dict[str, float] = {}
        self.store_failed_at = float("-inf")
        self._ran: dict[str, str] = {}
        self._left: dict[str, float] = {}
        self._added: dict[int, float] = {}
        self._removed: dict[int, float] = {}

    def breaks(self, at: float, promise: str, what: str) -> None:
        """Note a promise that was broken."""
        self.broken.append(Broken(at, promise, what))

    def ran(self, now: float, req: str, server: str) -> None:
        """A server began to work on a request."""
        if req not in self.asked:
            self.breaks(now, "asked", f"{server} ran {req}, never sent")
        if req in self._ran:
            what = f"{req} ran at {self._ran[req]} and {server}"
            self.breaks(now, "once", what)
        self._ran[req] = server

    def answered(self, now: float, req: str, text: str) -> None:
        """A caller got an answer to a request."""
        expected = f"{req} by {self._ran.get(req)}"
        if text != expected:
            what = f"expected {expected!r}, got {text!r}"
            self.breaks(now, "own answer", what)
        self.served[req] = now

    def leaves(self, now: float, server: str) -> None:
        """A server was acknowledged that it leaves."""
        self._left.setdefault(server, now)

    def configured(self, now: float, added: int, removed: int) -> None:
        """The store acknowledged a change; 0 is no port."""
        if added:
            self._added[added] = now
            self._removed.pop(added, None)
        if removed:
            self._removed[removed] = now

    def opened(
        self, now: float, port: int, server: str, sent_at: float
    ) -> None:
        """A server took a new flow to a port."""
        left = self._left.get(server)
        if left is not None and now - left > DRAIN_S:
            what = f"{server} got a flow {now - left:.1f} s after it left"
            self.breaks(now, "drain", what)
        removed = self._removed.get(port)
        if removed is not None and sent_at - removed > self._bound_s(removed):
            what = f"port {port} led to {server}, though long removed"
            self.breaks(now, "configuration", what)

    def refused(self, now: float, port: int, sent_at: float) -> None:
        """A new flow to a port of the configuration was reset."""
        added = self._added.get(port)
        if port in self._removed or added is None:
            return
        if sent_at - added > self._bound_s(added):
            self.breaks(now, "configuration", f"port {port} refused")

    def _bound_s(self, since: float) -> float:
        unstable = self.store_failed_at > since - CONFIGURATION_S
        return CONFIGURATION_S + (UNSTABLE_S if unstable else 0.0)
