"""Parameters of the request policy, in one place for the sweep."""

import msgspec

from ..config.model import Kind


class Policy(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of balancer and agent; times are seconds, shares 0 to 1.

    Keys: a key is kept ``repeat_deadlines`` deadlines of its kind
    after its last use, at least ``repeat_least_s``. Views are assumed
    to agree within ``view_spread_s``. A process that handled no event for
    ``fence_gap_s`` counts as paused and refuses new work for the next
    ``fence_hold_s``. An earlier home is asked ``ask_tries`` times,
    ``ask_s`` apart. A home cedes a key that would wait longer than
    ``cede_share`` of its deadline.

    Shares: a kind's use of slots is averaged over ``share_tau_s`` and
    has priority while it is below ``floor_margin`` times its floor. Its
    queue may take ``queue_share`` of its deadline, or ``queue_least_s``
    if that is more. Work longer than ``long_share`` of another kind's
    deadline never takes the last slot beyond its floor. ``finish_means``
    mean service times must be left when work starts. A server that sheds
    gets no new work for ``shed_s``.

    Balancer: each request earns ``retry_share`` of a retry, up to
    ``retry_burst``, and takes at most ``hops`` attempts. Idempotent work
    is tried on a second server after ``hedge_share`` of its deadline. A
    server that does not respond for ``silence_s`` while attempts are open
    gets only one as a probe each ``silence_s``. The throttle admits
    ``door_slack`` times what agents accept of a kind, averaged over
    ``door_tau_s``, divided fairly between ``door_callers`` groups of
    callers. A service may hold ``service_bytes`` of unread bodies and
    ``service_requests`` open requests. A balancer uses ``subset``
    servers of a service and compares ``choices`` of them for a request.
    Received load is valid for ``load_fresh_s``. A server's failure
    score moves by ``outlier_gain`` an answer, and at most
    ``outlier_most`` of the servers are avoided for it. An answer may
    arrive ``grace_s`` after the deadline.
    """

    repeat_deadlines: float = 4.0
    repeat_least_s: float = 15.0
    view_spread_s: float = 10.0
    fence_gap_s: float = 1.0
    fence_hold_s: float = 0.2
    cede_share: float = 0.1
    ask_s: float = 0.05
    ask_tries: int = 3
    share_tau_s: float = 1.0
    floor_margin: float = 1.33
    queue_share: float = 0.3
    queue_least_s: float = 0.2
    long_share: float = 0.5
    finish_means: float = 1.0
    shed_s: float = 0.02
    retry_share: float = 0.1
    retry_burst: float = 10.0
    hedge_share: float = 0.4
    silence_s: float = 1.0
    hops: int = 4
    door_slack: float = 3.0
    door_tau_s: float = 1.0
    door_callers: int = 64
    service_bytes: int = 32 * 1024 * 1024
    service_requests: int = 2000
    subset: int = 32
    choices: int = 7
    load_fresh_s: float = 0.5
    outlier_gain: float = 0.1
    outlier_most: float = 0.34
    grace_s: float = 0.1

    def repeat_window_s(self, kind: Kind) -> float:
        """Return how long after its last use a key may be retried."""
        window = self.repeat_deadlines * kind.deadline_s
        return max(window, self.repeat_least_s)

    def doubt_window_s(self, kind: Kind) -> float:
        """Return how long an earlier home of a key still matters."""
        return self.repeat_window_s(kind) + self.view_spread_s


POLICY = Policy()
