import os

import pytest

from medlar_core.ids import PlaceName
from medlar_core.ids import RegionName
from medlar_core.relay.zones.settings import NO_ZONE_RULES
from medlar_core.relay.zones.settings import PlaceRegion
from medlar_core.relay.zones.settings import ZoneSettings
from medlar_node.relay.settings import Role
from medlar_platform.settings import read_settings
from medlar_platform.settings import SettingsError
from medlar_platform.settings import SettingsFile

BALANCER = """
node_name = "front-1"
ip = "10.1.0.10"
zone = "z1"
serves = ["frontend", "control"]
internal_port_range = [7720, 7735]
seeds = ["10.1.0.10:8166", "10.2.0.40:8166"]
heartbeat_interval_ms = 1200
unknown = "ignored"
[listen]
datagram_address = "10.1.0.10:8172"
readiness_address = "10.1.0.10:8167"
control = "10.1.0.10:8166"
[bounds]
grace_period_s = 6
[platform]
address = "10.200.1.7:8169"
"""
AGENT = (
    BALANCER.replace('["frontend", "control"]', '["side"]')
    .replace('zone = "z1"', 'zone = "z1"\napp = "10.1.0.10:8165"')
    .replace("control =", 'outbound = "10.1.0.10:8162"\ncontrol =')
)


def write_settings(tmp_path, text: str) -> str:
    path = tmp_path / "node.toml"
    path.write_text(text)
    return str(path)


def test_balancer_settings(tmp_path):
    cfg = read_settings(write_settings(tmp_path, BALANCER))
    assert cfg.role is Role.BALANCER
    assert cfg.node == "10.1.0.10:7720"
    assert cfg.packets == "10.1.0.10:8172"
    assert cfg.caller_port == 8172
    assert cfg.seeds == ("10.1.0.10:7720", "10.2.0.40:7720")
    assert (cfg.beat_s, cfg.grace_s) == (1.2, 6.0)
    assert cfg.link_mbps == 0.0


def test_link_of_the_machine_is_read_where_the_limits_name_it(tmp_path):
    text = BALANCER + "[limits]\ncores = 2\nlink_mbps = 12.5\n"
    assert read_settings(write_settings(tmp_path, text)).link_mbps == 12.5


def test_agent_settings(tmp_path):
    cfg = read_settings(write_settings(tmp_path, AGENT))
    assert cfg.role is Role.AGENT
    assert cfg.server == "10.1.0.10:8165"
    assert cfg.outbound == "10.1.0.10:8162"


def test_places_can_be_evacuated_where_the_contract_names_them(tmp_path):
    text = AGENT.replace("unknown =", 'contracts = ["flows", "places"]\nx =')
    text += '[zones]\nz1 = "north"\n'
    text = text.replace("[bounds]", "[bounds]\ncold_overage = 1.5")
    zones = read_settings(write_settings(tmp_path, text)).zones
    region = PlaceRegion(PlaceName("z1"), RegionName("north"))
    assert zones == ZoneSettings(True, 1.5, 0.0, (region,))
    cfg = read_settings(write_settings(tmp_path, AGENT))
    assert cfg.zones == NO_ZONE_RULES


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (BALANCER.replace("zone", "zoo"), "zone"),
        (BALANCER.replace('"10.1.0.10:8172"', "5"), "datagram_address"),
        (BALANCER + "]", "node.toml"),
        (AGENT.replace('outbound = "10.1.0.10:8162"', ""), "outbound"),
        (BALANCER.replace("10.1.0.10:8172", "10.1.0.10"), "port"),
    ],
)
def test_invalid_settings_name_the_cause(tmp_path, text, message):
    with pytest.raises(SettingsError, match=message):
        read_settings(write_settings(tmp_path, text))


def test_missing_file_is_an_error_and_not_a_change(tmp_path):
    source = SettingsFile(str(tmp_path / "none"))
    with pytest.raises(SettingsError):
        source.read()
    assert not source.has_changed()


def test_change_is_reported_until_file_is_read(tmp_path):
    path = write_settings(tmp_path, BALANCER)
    source = SettingsFile(path)
    source.read()
    assert not source.has_changed()
    os.utime(path, (1, 1))
    assert source.has_changed()
    source.read()
    assert not source.has_changed()
