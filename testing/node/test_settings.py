import pytest

from medlar_node.settings import agent_settings
from medlar_node.settings import balancer_settings
from medlar_node.settings import SettingError
from medlar_node.settings import Source

KEY = "00112233445566778899aabbccddeeff"
GOOD = {
    "listen": "127.0.0.1:7101",
    "place": "almaty-a",
    "store": "127.0.0.1:7000",
    "fabric": "127.0.0.1:7001",
    "keys": KEY,
    "requests": "127.0.0.1:7201",
    "service": "giftshop",
    "server": "127.0.0.1:9001",
}


def test_flag_overrides_variable() -> None:
    source = Source(GOOD, {"MEDLARSTAGE_PLACE": "almaty-b"})
    assert balancer_settings(source).place == "almaty-a"


def test_variable_is_used_without_flag() -> None:
    flags = {**GOOD, "place": ""}
    source = Source(flags, {"MEDLARSTAGE_PLACE": "almaty-b"})
    assert balancer_settings(source).place == "almaty-b"


@pytest.mark.parametrize(
    ("name", "got"),
    [
        ("listen", ""),
        ("listen", "localhost:7101"),
        ("listen", "127.0.0.1:70000"),
        ("listen", "127.0.0.1"),
        ("place", "Almaty A"),
        ("store", "127.0.0.1:x"),
        ("seeds", "127.0.0.1:7101,nowhere"),
        ("service", ""),
        ("server", "127.0.0.1:0"),
        ("weight", "-1"),
        ("log_level", "loud"),
        ("stop_limit_s", "soon"),
    ],
)
def test_error_has_flag_variable_value_and_expectation(
    name: str, got: str
) -> None:
    with pytest.raises(SettingError) as caught:
        agent_settings(Source({**GOOD, name: got}, {}))
    text = str(caught.value)
    assert f"--{name.replace('_', '-')}" in text
    assert f"MEDLARSTAGE_{name.upper()}" in text
    assert (repr(got) if got else "got nothing") in text
    assert "expected" in text


@pytest.mark.parametrize("keys", ["", "abc", "zz" * 16, f"{KEY},{KEY}"])
def test_invalid_keys_are_refused_without_quoting_the_secret(
    keys: str,
) -> None:
    with pytest.raises(SettingError) as caught:
        agent_settings(Source({**GOOD, "keys": keys}, {}))
    assert KEY not in str(caught.value)


def test_missing_key_file_is_refused() -> None:
    flags = {**GOOD, "key_file": "no/such/file"}
    with pytest.raises(SettingError, match="--key-file"):
        agent_settings(Source(flags, {}))
