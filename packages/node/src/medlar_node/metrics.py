"""Prometheus metrics of a process, in a registry of its own."""

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import generate_latest
from prometheus_client import Histogram

from medlar_core.timeline.events import Topic

REFUSAL_TOPICS = frozenset(
    (
        Topic.ADMISSION,
        Topic.CONFIGURATION,
        Topic.KEYS,
        Topic.PACKET,
        Topic.STORE,
        Topic.VERDICT,
    )
)
"""Topics whose events count as refusals if they have a reason."""


class Metrics:
    """All metrics of one process; docs/reference/metrics.md lists them."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._bad_input = self._counter(
            "bad_input", "Input refused, by part and reason", "part", "reason"
        )
        self._control_messages = self._counter(
            "control_messages",
            "Control messages by type and direction",
            "type",
            "direction",
        )
        self._control_bytes = self._counter(
            "control_bytes",
            "Bytes of control messages by type and direction",
            "type",
            "direction",
        )
        self._packets = self._counter(
            "packets", "Packets by what was done with them", "action"
        )
        self._store_calls = self._counter(
            "store_calls",
            "Calls to the store by kind and result",
            "kind",
            "result",
        )
        self._events = self._counter(
            "timeline_events", "Time line events by topic", "topic"
        )
        self._refusals = self._counter(
            "refusals", "Packets and requests refused, by reason", "reason"
        )
        self._verdicts = self._counter(
            "verdicts",
            "Requests by service, kind and verdict",
            "service",
            "kind",
            "verdict",
        )
        self._faults = self._counter(
            "reducer_faults", "Events that a reducer failed on", "event"
        )
        self.control_seconds = self._counter(
            "control_seconds", "Processor seconds spent in decisions"
        )
        self.request_seconds = Histogram(
            "medlarstage_request_seconds",
            "Time from a request's arrival to its verdict",
            registry=self.registry,
        )
        self.version = self._gauge(
            "configuration_version", "Version of the configuration in force"
        )
        self.servers = self._gauge(
            "servers", "Servers in the view, by state", "state"
        )
        self.flows = self._gauge("open_flows", "Open flows held here")
        self.open_work = self._gauge("open_work", "Requests not ended here")

    def bad_input(self, part: str, reason: str) -> None:
        """Count input that was refused."""
        self._bad_input.labels(part, reason).inc()

    def control(self, kind: str, direction: str, size: int) -> None:
        """Count a control message of ``size`` bytes, ``in`` or ``out``."""
        self._control_messages.labels(kind, direction).inc()
        self._control_bytes.labels(kind, direction).inc(size)

    def packet(self, action: str) -> None:
        """Count a packet."""
        self._packets.labels(action).inc()

    def store_call(self, kind: str, result: str) -> None:
        """Count a call to the store."""
        self._store_calls.labels(kind, result).inc()

    def event(self, topic: Topic, reason: str) -> None:
        """Count a time line event, and the refusal it reports, if any."""
        self._events.labels(topic.value).inc()
        if reason and topic in REFUSAL_TOPICS:
            self._refusals.labels(reason).inc()

    def verdict(self, service: str, kind: str, verdict: str) -> None:
        """Count the end of a request."""
        self._verdicts.labels(service, kind, verdict).inc()

    def fault(self, event: str) -> None:
        """Count an event that a reducer failed on."""
        self._faults.labels(event).inc()

    def text(self) -> bytes:
        """Return all metrics in the text format."""
        return generate_latest(self.registry)

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(
            f"medlarstage_{name}", text, labels, registry=self.registry
        )

    def _gauge(self, name: str, text: str, *labels: str) -> Gauge:
        return Gauge(
            f"medlarstage_{name}", text, labels, registry=self.registry
        )
