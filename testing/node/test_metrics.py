import pytest

from medlar_core.timeline.events import Topic
from medlar_node.metrics import Metrics


@pytest.mark.parametrize(
    ("topic", "counted"),
    [(Topic.ADMISSION, True), (Topic.KEYS, True), (Topic.MEMBERSHIP, False)],
)
def test_only_refusal_topics_count_as_refusals(
    topic: Topic, counted: bool
) -> None:
    metrics = Metrics()
    metrics.event(topic, "stale")
    is_counted = 'medlarstage_refusals_total{reason="stale"} 1.0' in str(
        metrics.text().decode()
    )
    assert is_counted is counted
