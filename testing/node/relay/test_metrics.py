import pathlib
import re

import pytest

from medlar_node.relay.tally import GAUGES
from medlar_node.relay.tally import Histogram
from medlar_node.relay.tally import Tally

PAGE = pathlib.Path(__file__).parents[3] / "docs/reference/relay-metrics.md"


@pytest.fixture
def text() -> str:
    tally = Tally()
    tally.packets["passed"] += 3
    tally.decisions["packet", "no-server"] += 1
    tally.store_calls["Watch", "Changed"] += 2
    tally.messages["Hello"] += 1
    tally.unreadable["packet"] += 1
    tally.gauges = lambda: dict.fromkeys(GAUGES, 1.0)
    tally.decision_s.observe(0.002)
    return tally.text().decode()


def test_counters_gauges_and_histograms_are_written(text):
    assert 'medlarstage_relay_packets_total{action="passed"} 3.0' in text
    assert "medlarstage_relay_flows_open 1.0" in text
    bucket = 'medlarstage_relay_decision_seconds_bucket{le="0.003"} 1.0'
    assert bucket in text


def test_buckets_are_cumulated():
    histogram = Histogram()
    for seconds in (0.00005, 0.02, 9.0):
        histogram.observe(seconds)
    counts = dict(histogram.buckets())
    assert counts["0.0001"] == 1
    assert counts["0.03"] == 2
    assert counts["+Inf"] == 3


def test_the_page_lists_all_metrics_and_no_others(text):
    written = set(re.findall(r"^# TYPE (medlarstage_relay_\w+)", text, re.M))
    written = {name for name in written if not name.endswith("_created")}
    listed = set(re.findall(r"`(medlarstage_relay_\w+)`", PAGE.read_text()))
    assert listed == written
