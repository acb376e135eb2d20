import msgspec
import pytest

from medlar_bench.config.documents import document
from medlar_bench.config.fleet import Fleet
from medlar_bench.config.racing import run
from medlar_bench.config.racing import with_slots
from medlar_core.config.model import Configuration
from medlar_core.config.outcome import Accepted
from medlar_core.config.outcome import Outcome
from medlar_core.config.outcome import Rejected
from medlar_core.config.outcome import Unknown
from medlar_core.config.records import Head
from medlar_core.config.records import HEAD_KEY
from medlar_core.config.records import MAX_RECENT
from medlar_core.config.records import shard_key
from medlar_core.store import Put

DOC = document(4)


def fleet() -> Fleet:
    made = Fleet(3, 2, 1)
    assert apply(made, "first", DOC, 0) == Accepted("first", 1)
    return made


def apply(
    made: Fleet, change: str, cfg: Configuration, base: int
) -> Outcome | None:
    made.outcomes.clear()
    wanted = made.apply(change, cfg, base)
    made.settle(lambda: wanted in made.outcomes, 40.0, 0.1)
    return made.outcomes.get(wanted)


def head(made: Fleet) -> Head:
    return msgspec.json.decode(made.store.items[HEAD_KEY].value, type=Head)


def test_an_accepted_change_is_the_next_version() -> None:
    made = fleet()
    outcome = apply(made, "two", with_slots(DOC, 0, 77), 1)
    assert outcome == Accepted("two", 2)
    assert made.settle(lambda: made.everywhere(2), 10.0)


def test_the_same_change_again_is_no_change() -> None:
    made = fleet()
    new = with_slots(DOC, 0, 77)
    apply(made, "two", new, 1)
    before = made.store.revision
    assert apply(made, "two", new, 1) == Accepted("two", 2, again=True)
    assert made.store.revision == before


def test_a_change_id_of_another_document_is_rejected() -> None:
    made = fleet()
    apply(made, "two", with_slots(DOC, 0, 77), 1)
    outcome = apply(made, "two", with_slots(DOC, 0, 78), 1)
    assert isinstance(outcome, Rejected)
    assert "is that of another document" in outcome.why


def test_a_change_of_other_fields_since_the_base_is_merged() -> None:
    made = fleet()
    apply(made, "two", with_slots(DOC, 0, 77), 1)
    outcome = apply(made, "three", with_slots(DOC, 1, 88), 1)
    assert outcome == Accepted("three", 3, merged=True)


def test_a_conflict_tells_the_field_and_who_set_it() -> None:
    made = fleet()
    apply(made, "two", with_slots(DOC, 0, 77), 1)
    before = made.store.revision
    outcome = apply(made, "three", with_slots(DOC, 0, 88), 1)
    assert isinstance(outcome, Rejected)
    (conflict,) = outcome.conflicts
    assert conflict.path == "services.service-00000.slots"
    assert (conflict.mine, conflict.theirs) == ("88", "77")
    assert (conflict.by, conflict.version) == ("operator-two", 2)
    assert made.store.revision == before


def test_a_merge_that_does_not_check_is_rejected() -> None:
    made = fleet()
    a, b = DOC.services[:2]
    port = msgspec.structs.replace(a.addresses[0], ip="10.9.9.9")

    def moved(at: int) -> Configuration:
        services = list(DOC.services)
        services[at] = msgspec.structs.replace(services[at], addresses=(port,))
        return msgspec.structs.replace(DOC, services=tuple(services))

    assert isinstance(apply(made, "two", moved(0), 1), Accepted)
    outcome = apply(made, "three", moved(1), 1)
    assert isinstance(outcome, Rejected)
    assert b.name in outcome.problems[0].text
    assert "an address not used by" in outcome.problems[0].text


def test_a_document_with_faults_writes_nothing() -> None:
    made = fleet()
    before = made.store.revision
    outcome = apply(made, "two", with_slots(DOC, 0, 0), 1)
    assert isinstance(outcome, Rejected)
    assert made.store.revision == before


@pytest.mark.parametrize("base", [7, 0])
def test_a_base_that_is_not_known_is_rejected(base: int) -> None:
    made = fleet()
    record = msgspec.structs.replace(head(made).recent[0], version=5)
    put_head(made, msgspec.structs.replace(head(made), recent=(record,)))
    outcome = apply(made, "two", with_slots(DOC, 0, 77), base)
    assert isinstance(outcome, Rejected)
    assert f"base version {base} is not known" in outcome.why


def put_head(made: Fleet, new: Head) -> None:
    held = made.store.items[HEAD_KEY]
    text = msgspec.json.encode(new).decode()
    made.store.call(Put(HEAD_KEY, text, held.revision), lambda _: None)


def test_a_lost_answer_is_resolved_by_reading_back() -> None:
    made = fleet()
    made.store.lose_answers = 1.0
    outcome = apply(made, "two", with_slots(DOC, 0, 77), 1)
    assert outcome == Accepted("two", 2)
    assert [r.change for r in head(made).recent] == ["first", "two"]


def test_a_store_that_stays_down_leaves_the_outcome_unknown() -> None:
    made = fleet()
    made.store.down = True
    outcome = apply(made, "two", with_slots(DOC, 0, 77), 1)
    assert isinstance(outcome, Unknown)
    assert not outcome.written
    assert "--change two" in outcome.how


def test_a_store_lost_after_the_write_leaves_it_unknown_then_known() -> None:
    made = fleet()
    made.store.lose_answers = 1.0
    new = with_slots(DOC, 0, 77)
    wanted = made.apply("two", new, 1)
    made.settle(lambda: head(made).version == 2, 30.0, 0.001)
    made.store.down = True
    made.settle(lambda: wanted in made.outcomes, 40.0)
    outcome = made.outcomes[wanted]
    assert isinstance(outcome, Unknown)
    assert outcome.written
    made.store.down = False
    assert apply(made, "two", new, 1) == Accepted("two", 2, again=True)


def test_a_part_that_another_wrote_wrongly_is_refused() -> None:
    made = fleet()
    new = with_slots(DOC, 0, 77)
    other = fleet()
    apply(other, "two", new, 1)
    written = other.store.items.keys() - made.store.items.keys()
    (key,) = [k for k in written if k.startswith(shard_key(""))]
    made.store.call(Put(key, "garbage", 0), lambda _: None)
    outcome = apply(made, "two", new, 1)
    assert isinstance(outcome, Rejected)
    assert key in outcome.why


def test_changes_that_the_head_no_longer_names_are_still_known() -> None:
    made = fleet()
    for number in range(2, MAX_RECENT + 8):
        cfg = with_slots(DOC, 0, 100 + number)
        apply(made, f"change-{number}", cfg, number - 1)
    assert len(head(made).recent) <= MAX_RECENT
    old = with_slots(DOC, 0, 102)
    outcome = apply(made, "change-2", old, 1)
    assert outcome == Accepted("change-2", 2, again=True)
    merged = apply(made, "late", with_slots(old, 1, 55), 2)
    assert isinstance(merged, Accepted)


def test_a_store_that_went_back_hands_out_no_version_twice() -> None:
    made = fleet()
    first = dict(made.store.items)
    apply(made, "two", with_slots(DOC, 0, 77), 1)
    made.settle(lambda: made.everywhere(2), 10.0)
    made.store.items = first
    change = made.apply("three", with_slots(DOC, 0, 88), 1, at_least=2)
    made.settle(lambda: made.everywhere(3), 20.0)
    assert made.outcomes[change] == Accepted("three", 3)
    assert made.everywhere(3)


@pytest.mark.parametrize("seed", [11, 12])
def test_racing_operators_lose_and_double_nothing(seed: int) -> None:
    tally = run(seed, rounds=6)
    assert tally.faults == 0
    assert tally.outcomes["accepted"] > tally.outcomes["rejected"] > 0
