"""Attempts received by an agent, with one answer for each."""

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
    """An attempt and its deadline on the local clock; answers are final."""

    event: AttemptCame
    due: float
    answer: AnswerAttempt | None = None


class AttemptTable:
    """Attempts by id, kept for ``keep_s`` seconds past their deadline.

    A duplicate attempt gets the first answer again, so an attempt that
    was refused once stays refused.
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
        self._expiry_heap: list[tuple[float, AttemptId]] = []

    def __len__(self) -> int:
        return len(self._attempts)

    def get(self, attempt: AttemptId) -> Attempt | None:
        """Return a recent attempt, None if it is not known."""
        return self._attempts.get(attempt)

    def add(self, now: float, event: AttemptCame) -> Attempt:
        """Add a new attempt."""
        seen = Attempt(event, now + event.deadline_s)
        self._attempts[event.attempt] = seen
        heapq.heappush(
            self._expiry_heap, (seen.due + self._keep_s, event.attempt)
        )
        return seen

    def open(self, attempts: Iterable[AttemptId]) -> list[Attempt]:
        """Return those attempts that have no answer yet."""
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
        """Answer the attempts that have no answer yet."""
        answers = []
        for seen in self.open(attempts):
            if not isinstance(verdict, Ran):
                self._journal.note(now, seen.event, verdict.reason)
            seen.answer = AnswerAttempt(
                attempt=seen.event.attempt,
                dst=seen.event.src,
                verdict=verdict,
                load=self._load(),
                work=work if isinstance(verdict, Ran) else None,
                go=go,
            )
            answers.append(seen.answer)
        return answers

    def doubt(
        self, now: float, attempts: Iterable[AttemptId]
    ) -> list[AnswerAttempt]:
        """Answer attempts for a key that an earlier home may have run."""
        answers = []
        for seen in self.open(attempts):
            verdict: Verdict = MayHaveRun(Reason.KEY_IN_DOUBT)
            if seen.event.repeat is False:
                verdict = NotRun(Reason.KEY_IN_DOUBT)
            answers += self.answer(now, [seen.event.attempt], verdict)
        return answers

    def cancel(self, now: float, attempt: AttemptId) -> bool:
        """Close a cancelled attempt; False if it has an answer already."""
        verdict = MayHaveRun(Reason.CANCELLED)
        return bool(self.answer(now, [attempt], verdict))

    def expire(self, now: float) -> None:
        """Remove attempts ``keep_s`` past their deadline."""
        while self._expiry_heap and self._expiry_heap[0][0] <= now:
            _, id = heapq.heappop(self._expiry_heap)
            del self._attempts[id]
