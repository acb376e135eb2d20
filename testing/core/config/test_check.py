from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest

from medlar_bench.config.documents import document
from medlar_core.config.check import check
from medlar_core.config.codec import decode
from medlar_core.config.codec import encode
from medlar_core.config.codec import MAX_DOCUMENT_BYTES
from medlar_core.config.model import Configuration

VALID: dict[str, Any] = msgspec.to_builtins(document(2))


def problems_of(doc: Any) -> list[str]:
    found = decode(msgspec.json.encode(doc))
    assert isinstance(found, tuple), found
    return [problem.text for problem in found]


def changed(path: str, value: Any) -> Any:
    doc = msgspec.json.decode(msgspec.json.encode(VALID))
    *parents, last = [int(x) if x.isdigit() else x for x in path.split(".")]
    target = doc
    for key in parents:
        target = target[key]
    target[last] = value
    return doc


def test_decoding_an_encoded_document_returns_it() -> None:
    cfg = document(5)
    assert decode(encode(cfg)) == cfg


@pytest.mark.parametrize(
    ("path", "value", "expected"),
    [
        ("schema", 2, "schema: got 2; expected 1"),
        ("colour", "red", "unknown field `colour`"),
        ("services.0.colour", "red", "unknown field `colour`"),
        ("services.0.slots", "two", "services[0].slots: got an invalid value"),
        ("services.0.slots", 0, "services.service-00000.slots: got 0"),
        ("services.0.buckets", 1000, "a power of two"),
        ("services.0.name", "Berth Desk", "got 'Berth Desk'"),
        (
            "services.0.name",
            "service-00001",
            "2 times; expected unique values",
        ),
        ("services.0.places", ["mars"], "got 'mars'; expected place-0"),
        ("services.0.places", [], "places: got 0 entries"),
        ("services.0.addresses", [], "addresses: got 0 entries"),
        ("services.0.addresses.0.ip", "10.0.0.1.5", "an IP address"),
        ("services.0.addresses.0.ip", "10.0.0.1", "an address not used by"),
        ("services.0.addresses.0.port", 0, "port: got 0"),
        ("services.0.kinds.0.rank", 1, "kinds[].rank: got '1' 2 times"),
        ("services.0.kinds.0.floor", 1.0, "a sum of at most 1"),
        ("services.0.kinds.0.floor", -0.1, "floor: got -0.1; expected 0"),
        (
            "services.0.kinds.0.mean_s",
            0,
            "mean_s: got 0; expected more than 0",
        ),
        ("services.0.kinds.0.deadline_s", 0.001, "at least mean_s"),
        ("places.0.name", "place-1", "'place-1' 2 times"),
        ("places", [], "places: got 0 entries"),
    ],
)
def test_problem_names_field_value_and_expected_values(
    path: str, value: Any, expected: str
) -> None:
    assert any(expected in text for text in problems_of(changed(path, value)))


def test_address_conflict_is_found_with_valid_configuration_given() -> None:
    valid = document(2)
    first, second = valid.services
    conflicting = msgspec.structs.replace(second, addresses=first.addresses)
    cfg = msgspec.structs.replace(valid, services=(first, conflicting))
    assert check(cfg, valid) == check(cfg) != ()


def test_removed_place_is_found_with_valid_configuration_given() -> None:
    valid = document(2)
    cfg = msgspec.structs.replace(valid, places=valid.places[1:])
    assert check(cfg, valid) == check(cfg) != ()


@pytest.mark.parametrize(
    "text", ["", "{", "[]", "null", '"x"', "[" * 5000, b"\xff\xfe", "1e999"]
)
def test_text_that_is_not_a_document_is_refused(text: str | bytes) -> None:
    assert isinstance(decode(text), tuple)


def test_document_over_the_size_limit_is_refused() -> None:
    found = decode(" " * (MAX_DOCUMENT_BYTES + 1))
    assert isinstance(found, tuple)
    assert "bytes; expected at most" in found[0].text


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(["places", "services", "name", "schema", "kinds"])
            | st.text(max_size=5),
            inner,
            max_size=5,
        )
    ),
    max_leaves=20,
)


@settings(derandomize=True, max_examples=150)
@given(st.binary(max_size=200) | JSON.map(msgspec.json.encode))
def test_any_bytes_decode_to_a_configuration_or_problems(data: bytes) -> None:
    assert isinstance(decode(data), Configuration | tuple)


@settings(derandomize=True, max_examples=150)
@given(st.data())
def test_valid_document_with_any_field_replaced_never_raises(
    data: st.DataObject,
) -> None:
    path = data.draw(
        st.sampled_from(
            [
                "services.0",
                "services.0.kinds.0",
                "services.0.kinds.0.mean_s",
                "services.0.addresses.0.ip",
                "services.0.warm_s",
                "places.0.region",
            ]
        )
    )
    doc = changed(path, data.draw(JSON))
    found = decode(msgspec.json.encode(doc))
    assert isinstance(found, Configuration | tuple)
