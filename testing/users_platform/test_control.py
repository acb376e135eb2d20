import asyncio
import json

import pytest

from medlar_core.relay.events import ServerAnnounced
from medlar_core.relay.events import ServerLeft
from medlar_core.relay.events import ServerPhase
from medlar_node.relay.http import Request
from medlar_platform.control import read_control

HEARTBEAT = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "cold_remaining_ms": 1500,
    "sequence": 4,
    "born": 1_700_000_000_000,
}


def call(path: str, body: bytes):
    return asyncio.run(read_control(Request("POST", path, body)))


def heartbeat(**changes):
    body = json.dumps({**HEARTBEAT, **changes}).encode()
    return call("/-/Instances.Heartbeat/i-7f", body)


def test_heartbeat_becomes_server_announced():
    res, event = heartbeat()
    assert res.status == 200
    assert event == ServerAnnounced(
        "i-7f",
        1_700_000_000_000,
        4,
        "huvo11a",
        ServerPhase.READY,
        2,
        1.5,
    )


def test_draining_state_is_read():
    assert heartbeat(state="draining")[1].phase is ServerPhase.DRAINING


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "gone"},
        {"slots": "two"},
        {"service": None},
        {"born": 1.5},
        {"sequence": None},
        {"born": 2**64},
        {"born": -1},
        {"sequence": 2**70},
        {"slots": 2**63},
    ],
)
def test_heartbeat_with_invalid_field_is_rejected(changes):
    res, event = heartbeat(**changes)
    assert res.status == 400
    assert event is None
    assert b"error" in res.body


@pytest.mark.parametrize("body", [b"", b"\xff\xfe", b"[]", b"{"])
def test_undecodable_heartbeat_is_rejected(body):
    res, event = call("/-/Instances.Heartbeat/i-7f", body)
    assert (res.status, event) == (400, None)


def test_leave_is_accepted_with_and_without_body():
    path = "/-/Instances.Leave/i-7f"
    assert call(path, b"")[1] == ServerLeft("i-7f", 0)
    assert call(path, b'{"born":9}')[1] == ServerLeft("i-7f", 9)


def test_leave_with_a_start_beyond_64_bits_is_rejected():
    res, event = call("/-/Instances.Leave/i-7f", b'{"born":%d}' % 2**64)
    assert (res.status, event) == (400, None)


def test_unknown_path_is_rejected():
    res, event = call("/-/Other/x", b"{}")
    assert (res.status, event) == (404, None)
