"""Metrics of a relay process in the text format of Prometheus.

Values are plain numbers. The Prometheus library is imported by the first
scrape, so that a restarting process relays traffic sooner.
"""

import bisect
import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

BUCKETS_S = (
    0.0001,
    0.0003,
    0.001,
    0.003,
    0.01,
    0.03,
    0.1,
    0.3,
    1.0,
    3.0,
    10.0,
    30.0,
)
"""Upper bounds of the buckets of all histograms, in seconds."""
CONTENT_TYPE = "text/plain; version=0.0.4"


class Histogram:
    """Histogram of durations in seconds."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.sum_s = 0.0

    def observe(self, seconds: float) -> None:
        """Count one observation."""
        self.counts[bisect.bisect_left(BUCKETS_S, seconds)] += 1
        self.sum_s += seconds

    def observe_all(self, seconds: list[float]) -> None:
        """Count several observations."""
        ordered = sorted(seconds)
        below = 0
        for number, bound in enumerate(BUCKETS_S):
            up_to_bound = bisect.bisect_right(ordered, bound)
            self.counts[number] += up_to_bound - below
            below = up_to_bound
        self.counts[-1] += len(ordered) - below
        self.sum_s += sum(ordered)

    def buckets(self) -> list[tuple[str, float]]:
        """Return upper bounds and cumulative counts, as Prometheus expects."""
        cumulative = []
        total = 0
        for bound, count in zip(
            (*BUCKETS_S, "+Inf"), self.counts, strict=True
        ):
            total += count
            cumulative.append((str(bound), float(total)))
        return cumulative


class RelayMetrics:
    """Metrics of one process, listed in docs/reference/relay-metrics.md.

    ``gauges`` is called at each scrape and returns current values by name.
    """

    def __init__(self) -> None:
        self.packets: collections.Counter[str] = collections.Counter()
        self.decisions: collections.Counter[tuple[str, ...]] = (
            collections.Counter()
        )
        self.store_calls: collections.Counter[tuple[str, ...]] = (
            collections.Counter()
        )
        self.messages: collections.Counter[str] = collections.Counter()
        self.unreadable: collections.Counter[str] = collections.Counter()
        self.peer_bytes = 0
        self.suppressed_lines = 0
        self.decision_s = Histogram()
        self.store_call_s = Histogram()
        self.lag_s = Histogram()
        self.report_age_s = Histogram()
        self.gauges: Callable[[], dict[str, float]] = dict

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        from prometheus_client import CollectorRegistry
        from prometheus_client import generate_latest

        registry = CollectorRegistry()
        registry.register(_Collector(self))
        return generate_latest(registry)


class _Collector:
    """Adapter to the collector interface of the Prometheus library."""

    def __init__(self, metrics: RelayMetrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterable[Any]:
        from prometheus_client.core import CounterMetricFamily
        from prometheus_client.core import GaugeMetricFamily
        from prometheus_client.core import HistogramMetricFamily

        metrics = self._metrics
        for name, text, labels, counts in _counters(metrics):
            family = CounterMetricFamily(
                f"medlarstage_relay_{name}", text, labels=labels
            )
            for key, count in sorted(counts.items()):
                family.add_metric(key, count)
            yield family
        for name, text, histogram in _histograms(metrics):
            yield HistogramMetricFamily(
                f"medlarstage_relay_{name}_seconds",
                text,
                buckets=histogram.buckets(),
                sum_value=histogram.sum_s,
            )
        for name, value in sorted(metrics.gauges().items()):
            yield GaugeMetricFamily(
                f"medlarstage_relay_{name}", GAUGES[name], value=value
            )


_LabelledCounts = Mapping[tuple[str, ...], int]


def _counters(
    metrics: RelayMetrics,
) -> Iterable[tuple[str, str, list[str], _LabelledCounts]]:
    yield (
        "packets",
        "Packets by what was done",
        ["action"],
        _single_label(metrics.packets),
    )
    yield (
        "decisions",
        "Decisions and changes of belief, logged or held back",
        ["topic", "reason"],
        metrics.decisions,
    )
    yield (
        "store_calls",
        "Calls to the store by operation and result",
        ["operation", "result"],
        metrics.store_calls,
    )
    yield (
        "messages",
        "Messages to peers",
        ["type"],
        _single_label(metrics.messages),
    )
    yield (
        "unreadable",
        "Input that could not be read",
        ["input"],
        _single_label(metrics.unreadable),
    )
    yield (
        "peer_bytes",
        "Bytes sent to other processes, packets and messages",
        [],
        {(): metrics.peer_bytes},
    )
    yield (
        "log_lines_suppressed",
        "Log lines held back by their budget",
        [],
        {(): metrics.suppressed_lines},
    )


def _histograms(metrics: RelayMetrics) -> Iterable[tuple[str, str, Histogram]]:
    yield "decision", "Time to decide on an event", metrics.decision_s
    yield "store_call", "Time until the store answered", metrics.store_call_s
    yield "loop_lag", "How late the ticks of the loop came", metrics.lag_s
    yield (
        "belief_age",
        "Age of the last word of each agent at each tick",
        metrics.report_age_s,
    )


def _single_label(counts: dict[str, int]) -> _LabelledCounts:
    return {(name,): count for name, count in counts.items()}


GAUGES = {
    "flows_open": "Open flows of the own server",
    "flows_waiting": "Flows whose caller waits for an answer",
    "flows_known": "Flows known here, also those of other servers",
    "flows_held": "New flows that wait for the own server to have room",
    "service_time_ms": "Mean time that the own server works on a request",
    "expected_wait_ms": "Expected wait of a new flow at the own server",
    "flows_placing": "New flows that wait for the loads of servers",
    "server_health": "Own server: 0 healthy, 1 suspect, 2 on probation",
    "servers_left_out": "Servers of the service that get few new flows",
    "flows_left_mute_server": "New flows moved away from the mute server",
    "packets_held": "Packets that wait for a configuration or members",
    "scope_queries": "Flows whose services an agent asks for",
    "hints": "Flows whose holder this balancer knows",
    "agents": "Agents known",
    "agents_heard": "Agents whose own word is recent",
    "agents_draining": "Agents known whose server drains",
    "agents_down": "Agents known whose server is silent",
    "agents_lost": "Agents removed without a report of their server's end",
    "balancers": "Other balancers known",
    "places_evacuated": "Places that get no new flows",
    "flows_declined_for_place": "New flows that came though none may",
    "configuration_version": "Version of the configuration in force",
    "configuration_age_seconds": "Time since the store told the newest",
    "configuration_fetches": "Fetches of a newer configuration under way",
    "store_failing": "1 while the store is held to be failing",
    "log_lines_lost": "Log lines given up as nobody read them",
}
"""Help texts of all gauges by name."""
