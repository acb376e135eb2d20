"""The baseline of racing operators: the last write wins."""

import random

from medlar_core import store as ops
from medlar_fakes.clock import Clock
from medlar_fakes.store import Store

KEY = "document"


class LastWrite:
    """Operators who read, change one entry and write the whole back.

    A conflict is answered by writing over it, a lost answer by writing
    again. The value of each entry is unlike all others.
    """

    def __init__(self, seed: int, entries: int, lose_answers: float) -> None:
        self._rng = random.Random(seed)
        self._store = Store(Clock(), seed)
        self._store.lose_answers = lose_answers
        self._entries = entries
        self._write([0] * entries)

    def run(self, rounds: int, operators: int) -> int:
        """Return how many changes were lost or applied twice."""
        faults = 0
        for number in range(rounds):
            base = self._read()
            expected: dict[int, int] = {}
            for i in range(operators):
                at = self._rng.randrange(self._entries)
                mine = list(base)
                mine[at] = 1 + number * operators + i
                faults += self._write(mine) - 1
                expected[at] = mine[at]
            now = self._read()
            faults += sum(now[at] != value for at, value in expected.items())
        return faults

    def _read(self) -> list[int]:
        item = self._store.items[KEY]
        return [int(value) for value in item.value.split()]

    def _write(self, values: list[int]) -> int:
        """Write until an answer comes; return how often it took effect."""
        text = " ".join(str(value) for value in values)
        took = 0
        while True:
            held = self._store.items.get(KEY)
            before = self._store.revision
            answer = self._ask(text, held.revision if held else 0)
            took += self._store.revision - before
            if isinstance(answer, ops.Written):
                return took

    def _ask(self, text: str, expected: int) -> ops.StoreAnswer:
        answers: list[ops.StoreAnswer] = []
        self._store.call(ops.Put(KEY, text, expected), answers.append)
        self._store.clock.run_until(self._store.clock.now + 5.0)
        return answers[0]
