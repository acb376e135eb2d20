"""Evacuated places by the store's items and by other processes."""

from medlar_core.relay.store_watcher import Change
from medlar_core.relay.store_watcher import Snapshot
from medlar_core.relay.zones.evacuation import EvacuatedPlaces
from medlar_core.relay.zones.evacuation_items import EvacuationItems
from medlar_core.relay.zones.known_evacuation import KnownEvacuation
from medlar_core.store import Item

PREFIX = "op/evacuate/"


def item(name, value="{}"):
    return Item(PREFIX + name, value, 3, 0)


def test_a_listing_replaces_what_was_known():
    items = EvacuationItems(PREFIX)
    items.apply(Snapshot((item("a"), Item("op/config", "{}", 1, 0))), 5)
    # "a" was taken back in the part of the history that is gone.
    found = items.apply(Snapshot((item("b"),)), 9)
    assert found == EvacuatedPlaces(9, ("b",))


def test_events_add_and_remove_places():
    items = EvacuationItems(PREFIX)
    items.apply(Snapshot((item("a"),)), 5)
    assert items.apply(Change((item("b"),), ()), 6).places == ("a", "b")
    assert items.apply(Change((), (PREFIX + "a",)), 7).places == ("b",)
    assert items.apply(Change((), ("op/other",)), 8).places == ("b",)


def test_a_value_that_cannot_be_read_is_still_a_request():
    items = EvacuationItems(PREFIX)
    found = items.apply(Snapshot((item("a", "\ufffd\x00["),)), 5)
    assert found.places == ("a",)


def test_a_key_that_names_no_place_is_ignored_and_told_once():
    items = EvacuationItems(PREFIX)
    found = items.apply(Snapshot((item(""), item("a/b"), item("c"))), 5)
    assert found.places == ("c",)
    assert items.pop_unreadable() == [PREFIX, PREFIX + "a/b"]
    items.apply(Change((item("a/b"),), ()), 6)
    assert items.pop_unreadable() == []


def test_an_earlier_revision_never_replaces_a_later_one():
    known = KnownEvacuation()
    change = known.learn(EvacuatedPlaces(7, ("a",)))
    assert change is not None
    assert change.evacuated == ("a",)
    assert known.learn(EvacuatedPlaces(6, ())) is None
    assert known.learn(EvacuatedPlaces(0, ())) is None
    assert known.current.places == ("a",)
    change = known.learn(EvacuatedPlaces(8, ("b",)))
    assert change is not None
    assert (change.evacuated, change.taken_back) == (("b",), ("a",))


def test_a_later_revision_with_the_same_places_is_no_change():
    known = KnownEvacuation()
    known.learn(EvacuatedPlaces(7, ("a",)))
    assert known.learn(EvacuatedPlaces(9, ("a",))) is None
    assert known.current.revision == 9
