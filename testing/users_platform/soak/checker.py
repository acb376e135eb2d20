"""Checks the relay's guarantees against what callers and servers observe."""

import msgspec

DRAIN_S = 3.0
"""A server receives no new flow later than this after its announcement to
drain was acknowledged."""
CONFIGURATION_S = 3.0
"""Time within which a configuration is in force everywhere."""
EVACUATION_S = 2.0
"""A zone's servers get no new flow later than this after its evacuation."""
STORE_FAILURE_EXTRA_S = 12.0
"""Extra time for a configuration while the store fails."""


class Violation(msgspec.Struct, frozen=True):
    """Violation of a guarantee; ``promise`` is the guarantee's short name."""

    at: float
    promise: str
    what: str


class Checker:
    """Collects violations during a run; times are monotonic seconds."""

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        self.first_sent_at: dict[str, float] = {}
        """Time at which each request was first sent, by its id."""
        self.served_at: dict[str, float] = {}
        self.store_failed_at = float("-inf")
        self._ran_on: dict[str, str] = {}
        self._drained_at: dict[str, float] = {}
        self._added_at: dict[int, float] = {}
        self._removed_at: dict[int, float] = {}
        self._moves: dict[int, list[tuple[float, str]]] = {}
        """Time and new service of each move of a port's route."""
        self._evacuated_at: dict[str, float] = {}
        """When each evacuated zone was."""

    def add_violation(self, at: float, promise: str, what: str) -> None:
        """Add the violation of a guarantee."""
        self.violations.append(Violation(at, promise, what))

    def on_request_run(self, now: float, req: str, server: str) -> None:
        """Record that a server began to process a request."""
        if req not in self.first_sent_at:
            self.add_violation(
                now, "asked", f"{server} ran {req}, which was never sent"
            )
        if req in self._ran_on:
            what = f"{req} ran on {self._ran_on[req]} and {server}"
            self.add_violation(now, "once", what)
        self._ran_on[req] = server

    def on_response(self, now: float, req: str, text: str) -> None:
        """Record that a caller received the response to a request."""
        expected = f"{req} by {self._ran_on.get(req)}"
        if text != expected:
            what = f"expected {expected!r}, got {text!r}"
            self.add_violation(now, "own answer", what)
        self.served_at[req] = now

    def on_drain(self, now: float, server: str) -> None:
        """Record that a server's announcement to drain was acknowledged."""
        self._drained_at.setdefault(server, now)

    def on_configuration(self, now: float, added: int, removed: int) -> None:
        """Record a change acknowledged by the store; port 0 means none."""
        if added:
            self._added_at[added] = now
            self._removed_at.pop(added, None)
        if removed:
            self._removed_at[removed] = now

    def on_route_moved(self, now: float, port: int, service: str) -> None:
        """Record an acknowledged change of the service of a port."""
        self._moves.setdefault(port, []).append((now, service))

    def on_evacuated(self, now: float, zone: str) -> None:
        """Record that the store has acknowledged an evacuation."""
        self._evacuated_at[zone] = now

    def on_taken_back(self, zone: str) -> None:
        """Record that a zone is in service again."""
        self._evacuated_at.pop(zone, None)

    def on_zone_flow(self, now: float, zone: str, server: str) -> None:
        """Record that a server of a zone accepted a new flow."""
        since = self._evacuated_at.get(zone)
        if since is None or now - since <= self._bound_s(since, EVACUATION_S):
            return
        what = f"{server} received a new flow {now - since:.1f} s after"
        self.add_violation(now, "evacuation", what)

    def on_flow_opened(
        self, now: float, port: int, server: str, service: str, sent_at: float
    ) -> None:
        """Record that a server accepted a new flow to a port."""
        moves = self._moves.get(port, [])
        in_force = [m for m in moves if sent_at - m[0] > self._bound_s(m[0])]
        later = {moved_to for _, moved_to in moves[len(in_force) :]}
        if in_force and service not in {in_force[-1][1], *later}:
            what = f"port {port} routed to {service} long after its move"
            self.add_violation(now, "configuration", what)
        drained_at = self._drained_at.get(server)
        if drained_at is not None and now - drained_at > DRAIN_S:
            what = (
                f"{server} received a new flow {now - drained_at:.1f} s "
                "after it began to drain"
            )
            self.add_violation(now, "drain", what)
        removed = self._removed_at.get(port)
        if removed is not None and sent_at - removed > self._bound_s(removed):
            what = f"port {port} routed to {server} long after its removal"
            self.add_violation(now, "configuration", what)

    def on_flow_reset(self, now: float, port: int, sent_at: float) -> None:
        """Record that a new flow to a port was reset by the relay."""
        added = self._added_at.get(port)
        if port in self._removed_at or added is None:
            return
        if sent_at - added > self._bound_s(added):
            self.add_violation(
                now,
                "configuration",
                f"new flow to configured port {port} was reset",
            )

    def _bound_s(
        self, since: float, bound_s: float = CONFIGURATION_S
    ) -> float:
        store_failed = self.store_failed_at > since - CONFIGURATION_S
        return bound_s + (STORE_FAILURE_EXTRA_S if store_failed else 0.0)
