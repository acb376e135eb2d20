"""Counters and histograms of a relay process.

They are plain numbers until somebody asks; the library that writes them
as text is loaded by the first scrape, as a process that restarts must
carry traffic first.
"""

import bisect
import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

SECONDS = (0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0)
"""Upper bounds of the buckets of all histograms, in seconds."""
CONTENT_TYPE = "text/plain; version=0.0.4"


class Histogram:
    """Counts observations by bucket."""

    def __init__(self) -> None:
        self.counts = [0] * (len(SECONDS) + 1)
        self.total = 0.0

    def observe(self, seconds: float) -> None:
        """Count one observation."""
        self.counts[bisect.bisect_left(SECONDS, seconds)] += 1
        self.total += seconds

    def buckets(self) -> list[tuple[str, float]]:
        """Return upper bounds and cumulated counts, as Prometheus wants."""
        sums = []
        seen = 0
        for bound, count in zip((*SECONDS, "+Inf"), self.counts, strict=True):
            seen += count
            sums.append((str(bound), float(seen)))
        return sums


class Tally:
    """What one process counted; docs/reference/metrics.md lists all.

    ``gauges`` is called at each scrape for the values of the moment.
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
        self.held_back = 0
        self.decision_s = Histogram()
        self.store_s = Histogram()
        self.lag_s = Histogram()
        self.belief_s = Histogram()
        self.gauges: Callable[[], dict[str, float]] = dict

    def text(self) -> bytes:
        """Return all in the text format of Prometheus."""
        from prometheus_client import CollectorRegistry
        from prometheus_client import generate_latest

        registry = CollectorRegistry()
        registry.register(_Collector(self))
        return generate_latest(registry)


class _Collector:
    """Hands the numbers to the library."""

    def __init__(self, tally: Tally) -> None:
        self._tally = tally

    def collect(self) -> Iterable[Any]:
        from prometheus_client.core import CounterMetricFamily
        from prometheus_client.core import GaugeMetricFamily
        from prometheus_client.core import HistogramMetricFamily

        tally = self._tally
        for name, text, labels, counts in _counters(tally):
            family = CounterMetricFamily(
                f"medlarstage_relay_{name}", text, labels=labels
            )
            for key, count in sorted(counts.items()):
                family.add_metric(key, count)
            yield family
        for name, text, histogram in _histograms(tally):
            yield HistogramMetricFamily(
                f"medlarstage_relay_{name}_seconds",
                text,
                buckets=histogram.buckets(),
                sum_value=histogram.total,
            )
        for name, value in sorted(tally.gauges().items()):
            yield GaugeMetricFamily(
                f"medlarstage_relay_{name}", GAUGES[name], value=value
            )


_Labelled = Mapping[tuple[str, ...], int]


def _counters(
    tally: Tally,
) -> Iterable[tuple[str, str, list[str], _Labelled]]:
    yield (
        "packets",
        "Packets by what was done",
        ["action"],
        _one(tally.packets),
    )
    yield (
        "decisions",
        "Decisions and changes of belief, logged or held back",
        ["topic", "reason"],
        tally.decisions,
    )
    yield (
        "store_calls",
        "Calls to the store by operation and result",
        ["operation", "result"],
        tally.store_calls,
    )
    yield "messages", "Messages to peers", ["type"], _one(tally.messages)
    yield (
        "unreadable",
        "Input that could not be read",
        ["input"],
        _one(tally.unreadable),
    )
    yield (
        "peer_bytes",
        "Bytes sent to other processes, packets and messages",
        [],
        {(): tally.peer_bytes},
    )
    yield (
        "log_lines_suppressed",
        "Log lines held back by their budget",
        [],
        {(): tally.held_back},
    )


def _histograms(tally: Tally) -> Iterable[tuple[str, str, Histogram]]:
    yield "decision", "Time to decide on an event", tally.decision_s
    yield "store_call", "Time until the store answered", tally.store_s
    yield "loop_lag", "How late the ticks of the loop came", tally.lag_s
    yield (
        "belief_age",
        "Age of the last word of each agent at each tick",
        tally.belief_s,
    )


def _one(counts: dict[str, int]) -> _Labelled:
    return {(name,): count for name, count in counts.items()}


GAUGES = {
    "flows_open": "Open flows of the own server",
    "flows_waiting": "Flows whose caller waits for an answer",
    "flows_known": "Flows known here, also those of other servers",
    "hints": "Flows whose holder this balancer knows",
    "agents": "Agents known",
    "agents_heard": "Agents whose own word is recent",
    "agents_draining": "Agents known whose server drains",
    "agents_down": "Agents known whose server is silent",
    "balancers": "Other balancers known",
    "configuration_version": "Version of the configuration in force",
    "configuration_age_seconds": "Time since the store told the newest",
    "store_failing": "1 while the store is held to be failing",
    "log_lines_lost": "Log lines given up as nobody read them",
}
"""All gauges and what they tell."""
