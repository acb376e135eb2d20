"""Callers that send requests, retry with the same key and record results."""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import random

import msgspec

from medlar_core.ids import IdempotencyKey
from medlar_core.ids import KindName
from medlar_core.ids import NodeId
from medlar_core.ids import RequestId
from medlar_core.requests.events import AnswerCaller
from medlar_core.requests.events import RequestCame
from medlar_core.requests.events import RequestCancelled
from medlar_core.requests.events import StartAttempt
from medlar_core.verdict import MayHaveRun
from medlar_core.verdict import NotRun
from medlar_core.verdict import Ran
from medlar_core.verdict import Verdict

from .fleet import Fleet
from .workloads import Stream

EARLY_RETRY_SHARE = 0.1
"""Share of calls that are retried early, after a caller's timeout."""
TIMEOUT_RANGE_MEANS = (1.0, 4.0)
"""Range of the timeouts before an early retry, in mean service times."""
RETRY_AFTER_DEADLINE_S = 0.5
"""Time past the deadline after which every caller retries."""
MAX_CALLS_PER_JOB = 4
CALLERS = 200
"""Callers of each kind, each with its own address."""


class Job(msgspec.Struct):
    """One unit of work that a caller requests, with all its retries."""

    id: str
    stream: Stream
    sent_at: float
    calls: int = 0
    balancer: NodeId = NodeId("")
    runs: int = 0
    attempts: int = 0
    verdict: Verdict | None = None
    ended_at: float = 0.0
    started_at: float = 0.0
    mixed: bool = False

    @property
    def in_time(self) -> bool:
        """Whether it was answered within the deadline of the first call."""
        limit = self.sent_at + self.stream.kind.deadline_s
        return isinstance(self.verdict, Ran) and self.ended_at <= limit

    @property
    def took_s(self) -> float:
        """Time from the first call to the response, in seconds."""
        return self.ended_at - self.sent_at


class Callers:
    """Poisson arrivals of each stream, and all jobs created by them.

    ``early_retry_share`` is the share of calls retried early. With
    ``marks_retries``, callers state whether a request is a retry.
    ``body_read_s`` returns how long a balancer reads a body before it
    does anything else.
    """

    def __init__(
        self,
        fleet: Fleet,
        seed: int,
        early_retry_share: float = EARLY_RETRY_SHARE,
        marks_retries: bool = True,
    ) -> None:
        self.fleet = fleet
        self.jobs: dict[str, Job] = {}
        self._seed = seed
        self._rng = random.Random(seed)
        self._early_retry_share = early_retry_share
        self._marks_retries = marks_retries
        self._made = 0
        self.body_read_s: Callable[[NodeId, int], float] = lambda node, size: (
            0.0
        )
        fleet.answered = self._answered
        fleet.ran = self._ran

    def arrive(
        self, stream: Stream, rate: float, since: float, until: float
    ) -> None:
        """Schedule the jobs of a stream between two times.

        Each call of this method has its own random generator, so that a
        flood doesn't change the other arrivals.
        """
        clock = self.fleet.clock
        rng_seed = f"{self._seed} {stream.kind.name} {since}"
        rng = random.Random(rng_seed)

        def next_one() -> None:
            if clock.now >= until:
                return
            if clock.now >= since:
                self._new(stream)
            clock.after(rng.expovariate(rate), next_one)

        if rate > 0.0:
            clock.at(since + rng.expovariate(rate), next_one)

    def within(self, since: float, until: float) -> Iterator[Job]:
        """Yield the jobs first sent between two times."""
        for job in self.jobs.values():
            if since <= job.sent_at < until:
                yield job

    def goodput(
        self, kinds: list[KindName], since: float, until: float
    ) -> dict[KindName, int]:
        """Return, by kind, how many jobs sent in a period were in time."""
        found = collections.Counter(
            job.stream.kind.name
            for job in self.within(since, until)
            if job.in_time
        )
        return {kind: found[kind] for kind in kinds}

    def _new(self, stream: Stream) -> None:
        self._made += 1
        job = Job(f"job-{self._made}", stream, self.fleet.clock.now)
        self.jobs[job.id] = job
        self._call(job)

    def _call(self, job: Job) -> None:
        """Send a call of a job through a random live balancer."""
        job.calls += 1
        call = job.calls
        kind = job.stream.kind
        fleet = self.fleet
        live = [b for b in fleet.balancers if b in fleet.net.hosts]
        job.balancer = self._rng.choice(live)
        caller_number = self._rng.randrange(CALLERS)
        arrival = RequestCame(
            req=RequestId(f"{job.id}/{call}"),
            service=job.stream.service,
            kind=kind.name,
            key=IdempotencyKey(job.id),
            deadline_s=kind.deadline_s,
            body_bytes=job.stream.body_bytes,
            caller=f"10.9.{kind.rank}.{caller_number}",
            repeat=call > 1 if self._marks_retries else None,
        )
        balancer = job.balancer
        delay = fleet.load.client_s + fleet.delay_s(balancer)
        delay += self.body_read_s(balancer, arrival.body_bytes)
        fleet.clock.after(delay, lambda: self._enter(job, balancer, arrival))
        if self._rng.random() < self._early_retry_share:
            timeout_s = self._rng.uniform(*TIMEOUT_RANGE_MEANS) * kind.mean_s
            fleet.clock.after(timeout_s, lambda: self._retry_call(job, call))
        limit = kind.deadline_s + RETRY_AFTER_DEADLINE_S
        fleet.clock.after(limit, lambda: self._retry_call(job, call))

    def _enter(self, job: Job, balancer: NodeId, arrival: RequestCame) -> None:
        if balancer in self.fleet.net.hosts:
            self.fleet.net.dispatch(balancer, arrival)
        else:
            self.lost(balancer)

    def _retry_call(self, job: Job, call: int) -> None:
        """Cancel a call that timed out and retry it at a random balancer."""
        if job.verdict is not None or job.calls != call:
            return
        if call >= MAX_CALLS_PER_JOB:
            return
        gone = RequestCancelled(RequestId(f"{job.id}/{call}"))
        if job.balancer in self.fleet.net.hosts:
            self.fleet.net.dispatch(job.balancer, gone)
        self._call(job)

    def lost(self, balancer: NodeId) -> None:
        """Retry the open calls of a balancer that died."""
        for job in self.jobs.values():
            if job.verdict is None and job.balancer == balancer:
                self._call(job)

    def _answered(self, node: NodeId, answer: AnswerCaller) -> None:
        id, _, call = answer.req.partition("/")
        job = self.jobs[id]
        if job.verdict is not None or int(call) != job.calls:
            return
        job.verdict = answer.verdict
        return_delay_s = self.fleet.load.client_s + self.fleet.delay_s(node)
        job.ended_at = self.fleet.clock.now + return_delay_s
        if isinstance(answer.verdict, Ran):
            job.mixed = answer.verdict.body_digest != f"answer to {id}"

    def _ran(self, start: StartAttempt) -> None:
        job = self.jobs[start.req.partition("/")[0]]
        job.runs += 1
        job.started_at = job.started_at or self.fleet.clock.now


class OutcomeCounts(msgspec.Struct, frozen=True):
    """Counts of jobs by outcome."""

    jobs: int
    lost: int
    doubled: int
    false_not_run: int
    mixed: int
    unknown: int
    ran: int


def count_outcomes(jobs: list[Job]) -> OutcomeCounts:
    """Count jobs by outcome; a job without a verdict counts as lost."""
    not_run = [j for j in jobs if isinstance(j.verdict, NotRun)]
    once = [j for j in jobs if not j.stream.kind.idempotent]
    return OutcomeCounts(
        jobs=len(jobs),
        lost=sum(j.verdict is None for j in jobs),
        doubled=sum(j.runs > 1 for j in once),
        false_not_run=sum(j.runs > 0 for j in not_run),
        mixed=sum(j.mixed for j in jobs),
        unknown=sum(isinstance(j.verdict, MayHaveRun) for j in jobs),
        ran=sum(isinstance(j.verdict, Ran) for j in jobs),
    )
