"""Baseline for concurrent operators: the last write wins."""

import random

from medlar_core import store as ops
from medlar_fakes.clock import Clock
from medlar_fakes.store import Store

KEY = "document"


class LastWrite:
    """Operators that read the document, change one entry and write it back.

    After a conflict the other write is overwritten; after a lost answer
    the write is tried again. Every value written is unique, so that each
    change can be recognised.
    """

    def __init__(self, seed: int, entries: int, lose_answers: float) -> None:
        self._rng = random.Random(seed)
        self._store = Store(Clock(), seed)
        self._store.lose_answers = lose_answers
        self._entries = entries
        self._write([0] * entries)

    def run(self, rounds: int, operators: int) -> int:
        """Return how many changes were lost or applied more than once."""
        faults = 0
        for number in range(rounds):
            base = self._read()
            expected: dict[int, int] = {}
            for i in range(operators):
                at = self._rng.randrange(self._entries)
                changed = list(base)
                changed[at] = 1 + number * operators + i
                faults += self._write(changed) - 1
                expected[at] = changed[at]
            found = self._read()
            faults += sum(found[at] != value for at, value in expected.items())
        return faults

    def _read(self) -> list[int]:
        item = self._store.items[KEY]
        return [int(value) for value in item.value.split()]

    def _write(self, values: list[int]) -> int:
        """Write until an answer is received; return the times applied."""
        text = " ".join(str(value) for value in values)
        times_applied = 0
        while True:
            held = self._store.items.get(KEY)
            before = self._store.revision
            answer = self._put(text, held.revision if held else 0)
            times_applied += self._store.revision - before
            if isinstance(answer, ops.Written):
                return times_applied

    def _put(self, text: str, expected: int) -> ops.StoreAnswer:
        answers: list[ops.StoreAnswer] = []
        self._store.call(ops.Put(KEY, text, expected), answers.append)
        self._store.clock.run_until(self._store.clock.now + 5.0)
        return answers[0]
