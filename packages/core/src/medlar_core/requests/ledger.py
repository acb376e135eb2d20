"""Every attempt that came to an agent, and the one answer to each."""

from collections.abc import Callable
from collections.abc import Iterable
import heapq

import msgspec

from ..ids import AttemptId
from ..verdict import MayHaveRun
from ..verdict import NotRun
from ..verdict import Ran
from ..verdict import Reason
from ..verdict import Verdict
from .events import AnswerAttempt
from .events import AttemptCame
from .events import Go
from .events import ServerLoad
from .journal import Journal


class Attempt(msgspec.Struct):
    """An attempt and its deadline on our clock; one answer is final."""

    came: AttemptCame
    due: float
    answer: AnswerAttempt | None = None


class Ledger:
    """Attempts by id, kept for ``keep_s`` seconds past their deadline.

    An attempt that comes twice finds its first answer here, so that one
    which was refused once stays refused.
    """

    def __init__(
        self,
        keep_s: float,
        journal: Journal,
        load: Callable[[], ServerLoad],
    ) -> None:
        self._keep_s = keep_s
        self._journal = journal
        self._load = load
        self._attempts: dict[AttemptId, Attempt] = {}
        self._ending: list[tuple[float, AttemptId]] = []

    def __len__(self) -> int:
        return len(self._attempts)

    def get(self, attempt: AttemptId) -> Attempt | None:
        """Return an attempt that came lately."""
        return self._attempts.get(attempt)

    def add(self, now: float, came: AttemptCame) -> Attempt:
        """Note a new attempt."""
        seen = Attempt(came, now + came.deadline_s)
        self._attempts[came.attempt] = seen
        heapq.heappush(self._ending, (seen.due + self._keep_s, came.attempt))
        return seen

    def open(self, attempts: Iterable[AttemptId]) -> list[Attempt]:
        """Return those attempts that still want an answer."""
        found = (self._attempts.get(a) for a in attempts)
        return [a for a in found if a is not None and a.answer is None]

    def answer(
        self,
        now: float,
        attempts: Iterable[AttemptId],
        verdict: Verdict,
        work: AttemptId | None = None,
        go: Go | None = None,
    ) -> list[AnswerAttempt]:
        """Answer attempts; those that have an answer keep it."""
        made = []
        for seen in self.open(attempts):
            if not isinstance(verdict, Ran):
                self._journal.note(now, seen.came, verdict.reason)
            seen.answer = AnswerAttempt(
                attempt=seen.came.attempt,
                dst=seen.came.src,
                verdict=verdict,
                load=self._load(),
                work=work if isinstance(verdict, Ran) else None,
                go=go,
            )
            made.append(seen.answer)
        return made

    def doubt(
        self, now: float, attempts: Iterable[AttemptId]
    ) -> list[AnswerAttempt]:
        """Answer attempts for a key that an earlier home may have run."""
        made = []
        for seen in self.open(attempts):
            verdict: Verdict = MayHaveRun(Reason.KEY_IN_DOUBT)
            if seen.came.repeat is False:
                verdict = NotRun(Reason.KEY_IN_DOUBT)
            made += self.answer(now, [seen.came.attempt], verdict)
        return made

    def cancel(self, now: float, attempt: AttemptId) -> bool:
        """Close an attempt that nobody waits for; False if it was."""
        gone = MayHaveRun(Reason.CANCELLED)
        return bool(self.answer(now, [attempt], gone))

    def expire(self, now: float) -> None:
        """Forget attempts whose time is long past."""
        while self._ending and self._ending[0][0] <= now:
            _, id = heapq.heappop(self._ending)
            del self._attempts[id]
