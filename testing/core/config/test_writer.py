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


def new_fleet() -> Fleet:
    fleet = Fleet(3, 2, 1)
    assert apply(fleet, "first", DOC, 0) == Accepted("first", 1)
    return fleet


def apply(
    fleet: Fleet, change: str, cfg: Configuration, base: int
) -> Outcome | None:
    fleet.outcomes.clear()
    wanted = fleet.apply(change, cfg, base)
    fleet.settle(lambda: wanted in fleet.outcomes, 40.0, 0.1)
    return fleet.outcomes.get(wanted)


def head(fleet: Fleet) -> Head:
    return msgspec.json.decode(fleet.store.items[HEAD_KEY].value, type=Head)


def test_accepted_change_is_the_next_version() -> None:
    fleet = new_fleet()
    outcome = apply(fleet, "two", with_slots(DOC, 0, 77), 1)
    assert outcome == Accepted("two", 2)
    assert fleet.settle(lambda: fleet.in_force_everywhere(2), 10.0)


def test_repeating_a_change_writes_nothing() -> None:
    fleet = new_fleet()
    new = with_slots(DOC, 0, 77)
    apply(fleet, "two", new, 1)
    before = fleet.store.revision
    assert apply(fleet, "two", new, 1) == Accepted("two", 2, again=True)
    assert fleet.store.revision == before


def test_change_id_of_another_document_is_rejected() -> None:
    fleet = new_fleet()
    apply(fleet, "two", with_slots(DOC, 0, 77), 1)
    outcome = apply(fleet, "two", with_slots(DOC, 0, 78), 1)
    assert isinstance(outcome, Rejected)
    assert "belongs to another document" in outcome.why


def test_changes_of_different_fields_are_merged() -> None:
    fleet = new_fleet()
    apply(fleet, "two", with_slots(DOC, 0, 77), 1)
    outcome = apply(fleet, "three", with_slots(DOC, 1, 88), 1)
    assert outcome == Accepted("three", 3, merged=True)


def test_conflict_names_the_field_and_its_author() -> None:
    fleet = new_fleet()
    apply(fleet, "two", with_slots(DOC, 0, 77), 1)
    before = fleet.store.revision
    outcome = apply(fleet, "three", with_slots(DOC, 0, 88), 1)
    assert isinstance(outcome, Rejected)
    (conflict,) = outcome.conflicts
    assert conflict.path == "services.service-00000.slots"
    assert (conflict.mine, conflict.theirs) == ("88", "77")
    assert (conflict.by, conflict.version) == ("operator-two", 2)
    assert fleet.store.revision == before


def test_merge_with_problems_is_rejected() -> None:
    fleet = new_fleet()
    a, b = DOC.services[:2]
    port = msgspec.structs.replace(a.addresses[0], ip="10.9.9.9")

    def moved(at: int) -> Configuration:
        services = list(DOC.services)
        services[at] = msgspec.structs.replace(services[at], addresses=(port,))
        return msgspec.structs.replace(DOC, services=tuple(services))

    assert isinstance(apply(fleet, "two", moved(0), 1), Accepted)
    outcome = apply(fleet, "three", moved(1), 1)
    assert isinstance(outcome, Rejected)
    assert b.name in outcome.problems[0].text
    assert "an address not used by" in outcome.problems[0].text


def test_document_with_problems_writes_nothing() -> None:
    fleet = new_fleet()
    before = fleet.store.revision
    outcome = apply(fleet, "two", with_slots(DOC, 0, 0), 1)
    assert isinstance(outcome, Rejected)
    assert fleet.store.revision == before


@pytest.mark.parametrize("base", [7, 0])
def test_unknown_base_version_is_rejected(base: int) -> None:
    fleet = new_fleet()
    record = msgspec.structs.replace(head(fleet).recent[0], version=5)
    put_head(fleet, msgspec.structs.replace(head(fleet), recent=(record,)))
    outcome = apply(fleet, "two", with_slots(DOC, 0, 77), base)
    assert isinstance(outcome, Rejected)
    assert f"base version {base} is not known" in outcome.why


def put_head(fleet: Fleet, new: Head) -> None:
    item = fleet.store.items[HEAD_KEY]
    text = msgspec.json.encode(new).decode()
    fleet.store.call(Put(HEAD_KEY, text, item.revision), lambda _: None)


def test_lost_answer_is_resolved_by_reading_back() -> None:
    fleet = new_fleet()
    fleet.store.lose_answers = 1.0
    outcome = apply(fleet, "two", with_slots(DOC, 0, 77), 1)
    assert outcome == Accepted("two", 2)
    assert [r.change for r in head(fleet).recent] == ["first", "two"]


def test_outcome_is_unknown_if_the_store_stays_unavailable() -> None:
    fleet = new_fleet()
    fleet.store.down = True
    outcome = apply(fleet, "two", with_slots(DOC, 0, 77), 1)
    assert isinstance(outcome, Unknown)
    assert not outcome.written
    assert "--change two" in outcome.how


def test_unknown_outcome_after_a_write_is_resolved_by_a_retry() -> None:
    fleet = new_fleet()
    fleet.store.lose_answers = 1.0
    new = with_slots(DOC, 0, 77)
    wanted = fleet.apply("two", new, 1)
    fleet.settle(lambda: head(fleet).version == 2, 30.0, 0.001)
    fleet.store.down = True
    fleet.settle(lambda: wanted in fleet.outcomes, 40.0)
    outcome = fleet.outcomes[wanted]
    assert isinstance(outcome, Unknown)
    assert outcome.written
    fleet.store.down = False
    assert apply(fleet, "two", new, 1) == Accepted("two", 2, again=True)


def test_shard_with_wrong_content_in_the_store_is_rejected() -> None:
    fleet = new_fleet()
    new = with_slots(DOC, 0, 77)
    other = new_fleet()
    apply(other, "two", new, 1)
    written = other.store.items.keys() - fleet.store.items.keys()
    (key,) = [k for k in written if k.startswith(shard_key(""))]
    fleet.store.call(Put(key, "garbage", 0), lambda _: None)
    outcome = apply(fleet, "two", new, 1)
    assert isinstance(outcome, Rejected)
    assert key in outcome.why


def test_changes_on_history_pages_are_still_known() -> None:
    fleet = new_fleet()
    for number in range(2, MAX_RECENT + 8):
        cfg = with_slots(DOC, 0, 100 + number)
        apply(fleet, f"change-{number}", cfg, number - 1)
    assert len(head(fleet).recent) <= MAX_RECENT
    old = with_slots(DOC, 0, 102)
    outcome = apply(fleet, "change-2", old, 1)
    assert outcome == Accepted("change-2", 2, again=True)
    merged = apply(fleet, "late", with_slots(old, 1, 55), 2)
    assert isinstance(merged, Accepted)


def test_store_that_lost_versions_assigns_no_version_twice() -> None:
    fleet = new_fleet()
    first = dict(fleet.store.items)
    apply(fleet, "two", with_slots(DOC, 0, 77), 1)
    fleet.settle(lambda: fleet.in_force_everywhere(2), 10.0)
    fleet.store.items = first
    change = fleet.apply("three", with_slots(DOC, 0, 88), 1, at_least=2)
    fleet.settle(lambda: fleet.in_force_everywhere(3), 20.0)
    assert fleet.outcomes[change] == Accepted("three", 3)
    assert fleet.in_force_everywhere(3)


@pytest.mark.parametrize("seed", [11, 12])
def test_concurrent_operators_lose_and_duplicate_no_change(seed: int) -> None:
    tally = run(seed, rounds=6)
    assert tally.faults == 0
    assert tally.outcomes["accepted"] > tally.outcomes["rejected"] > 0
