from typing import Any

import msgspec
import pytest

from medlar_bench.config.documents import document
from medlar_core.config.codec import decode
from medlar_core.config.model import Configuration
from medlar_core.config.warnings import find_warnings

KIND = {
    "name": "order",
    "rank": 0,
    "floor": 0.4,
    "idempotent": False,
    "mean_s": 0.1,
    "deadline_s": 1.0,
}


def warnings_of(service: dict[str, Any], *places: dict[str, str]):
    """Return the warnings of a document with other fields and places."""
    doc = msgspec.json.decode(msgspec.json.encode(document(1)))
    doc["services"][0].update({"kinds": [KIND], **service})
    doc["places"] += places
    cfg = decode(msgspec.json.encode(doc))
    assert isinstance(cfg, Configuration), cfg
    return find_warnings(cfg)


def addresses(protocol: str) -> list[dict[str, Any]]:
    return [{"ip": "127.0.9.1", "port": 80, "protocol": protocol}]


def test_a_document_without_contradictions_has_no_warning():
    assert warnings_of({"addresses": addresses("request")}) == ()


@pytest.mark.parametrize(
    ("fields", "path"),
    [
        ({"addresses": addresses("flow")}, "kinds"),
        ({"connections": 1, "slots": 2}, "connections"),
        ({"drain_limit_s": 0.5}, "drain_limit_s"),
        ({"kinds": [{**KIND, "max_body_bytes": 0}]}, "order.max_body_bytes"),
        (
            {
                "kinds": [
                    {**KIND, "floor": 1.0},
                    {**KIND, "name": "page", "rank": 1, "floor": 0.0},
                ]
            },
            "page.floor",
        ),
    ],
)
def test_an_entry_without_effect_or_a_contradiction_is_named(fields, path):
    (found,) = warnings_of({"addresses": addresses("request"), **fields})
    assert found.path.endswith(path)


def test_a_place_without_a_service_is_named():
    empty = {"name": "empty", "region": "r"}
    (found,) = warnings_of({"addresses": addresses("request")}, empty)
    assert found.got == "'empty' without a service"
