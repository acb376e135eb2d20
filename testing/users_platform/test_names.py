"""The packages contain no names of the users' platform.

Only ``platform/`` may contain them.
"""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parents[2]
PLATFORM_NAMES = re.compile(
    r"kv-|Instances\.|datagram_address|readiness_address|"
    r"heartbeat_interval_ms|internal_port_range|expected_revision|"
    r"set_keys|as_of|is_deleted|cold_remaining_ms|idle_timeout_ms|"
    r"traffic_split|MEDLARSTAGE_SETTINGS|op/config"
)
FILES = sorted((ROOT / "packages").rglob("*.py"))


@pytest.mark.parametrize("path", FILES, ids=lambda p: str(p.relative_to(ROOT)))
def test_package_contains_no_platform_name(path):
    found = PLATFORM_NAMES.findall(path.read_text())
    assert found == []


def test_the_adapter_stays_small():
    files = (ROOT / "platform").rglob("*.py")
    lines = sum(len(f.read_text().splitlines()) for f in files)
    assert lines < 900
