import pathlib
import re

import pytest

from medlar_node.relay.metrics import GAUGES
from medlar_node.relay.metrics import Histogram
from medlar_node.relay.metrics import RelayMetrics

PAGE = pathlib.Path(__file__).parents[3] / "docs/reference/relay-metrics.md"


@pytest.fixture
def text() -> str:
    metrics = RelayMetrics()
    metrics.packets["passed"] += 3
    metrics.decisions["packet", "no-server"] += 1
    metrics.store_calls["Watch", "Changed"] += 2
    metrics.messages["Hello"] += 1
    metrics.unreadable["packet"] += 1
    metrics.gauges = lambda: dict.fromkeys(GAUGES, 1.0)
    metrics.decision_s.observe(0.002)
    return metrics.render().decode()


def test_counters_gauges_and_histograms_are_rendered(text):
    assert 'medlarstage_relay_packets_total{action="passed"} 3.0' in text
    assert "medlarstage_relay_flows_open 1.0" in text
    bucket = 'medlarstage_relay_decision_seconds_bucket{le="0.003"} 1.0'
    assert bucket in text


def test_buckets_are_cumulative():
    histogram = Histogram()
    for seconds in (0.00005, 0.02, 9.0):
        histogram.observe(seconds)
    counts = dict(histogram.buckets())
    assert counts["0.0001"] == 1
    assert counts["0.03"] == 2
    assert counts["+Inf"] == 3


def test_reference_page_lists_exactly_the_rendered_metrics(text):
    rendered = set(re.findall(r"^# TYPE (medlarstage_relay_\w+)", text, re.M))
    rendered = {name for name in rendered if not name.endswith("_created")}
    listed = set(re.findall(r"`(medlarstage_relay_\w+)`", PAGE.read_text()))
    assert listed == rendered


def test_counting_several_observations_equals_counting_each():
    seconds = [0.0001, 0.00005, 0.02, 0.1, 0.1000001, 3.0, 9.0, 0.0]
    single, several = Histogram(), Histogram()
    for value in seconds:
        single.observe(value)
    several.observe_all(seconds)
    several.observe_all([])
    assert several.counts == single.counts
    assert several.sum_s == pytest.approx(single.sum_s)
