"""Tests of heartbeat timeouts and suspicion in the failure detector."""

from medlar_core.ids import NodeId
from medlar_core.ids import Seconds
from medlar_core.members.failure_detector import FailureDetector
from medlar_core.members.failure_detector import GRACE_S
from medlar_core.members.failure_detector import HEARTBEAT_S
from medlar_core.members.failure_detector import HEARTBEAT_TIMEOUT_S
from medlar_core.members.failure_detector import SUSPICION_TIMEOUT_S
from medlar_core.members.failure_detector import Unresponsive

NODE = NodeId("10.2.0.1:7")


def detector_after_heartbeat(heartbeat_at: float = 10.0) -> FailureDetector:
    detector = FailureDetector()
    detector.assign(Seconds(heartbeat_at - 1.0), [NODE])
    detector.record_heartbeat(Seconds(heartbeat_at), NODE)
    return detector


def unresponsive_at(detector: FailureDetector, start: float) -> float:
    now = start
    while now < start + 20.0:
        if any(
            isinstance(f, Unresponsive) for f in detector.tick(Seconds(now))
        ):
            return now
        now = round(now + 0.1, 1)
    return now


def test_missing_heartbeat_leads_to_an_unresponsive_verdict() -> None:
    found = unresponsive_at(detector_after_heartbeat(), 10.0)
    assert (
        HEARTBEAT_TIMEOUT_S + SUSPICION_TIMEOUT_S
        <= found - 10.0
        <= HEARTBEAT_TIMEOUT_S + SUSPICION_TIMEOUT_S + 0.2
    )


def test_message_before_the_missing_heartbeat_delays_nothing() -> None:
    detector = detector_after_heartbeat()
    detector.record_message(Seconds(12.0), NODE)
    assert (
        unresponsive_at(detector, 12.0)
        <= 10.0 + HEARTBEAT_TIMEOUT_S + SUSPICION_TIMEOUT_S + 0.2
    )


def test_probe_reply_defers_suspicion_to_the_next_heartbeat() -> None:
    detector = detector_after_heartbeat()
    detector.tick(Seconds(12.2))
    detector.record_message(Seconds(12.3), NODE)
    assert (
        unresponsive_at(detector, 12.3)
        >= 10.0 + HEARTBEAT_S + HEARTBEAT_TIMEOUT_S + SUSPICION_TIMEOUT_S
    )


def test_message_older_than_the_suspicion_does_not_clear_it() -> None:
    detector = detector_after_heartbeat()
    detector.tick(Seconds(12.2))
    detector.record_message(Seconds(12.4), NODE, age=0.3)
    assert (
        unresponsive_at(detector, 12.4)
        <= 10.0 + HEARTBEAT_TIMEOUT_S + SUSPICION_TIMEOUT_S + 0.3
    )


def test_age_is_infinite_before_the_first_message() -> None:
    detector = FailureDetector()
    detector.assign(Seconds(10.0), [NODE])
    assert detector.age(Seconds(10.1), NODE) == float("inf")


def test_suspect_stays_watched_after_reassignment() -> None:
    detector = detector_after_heartbeat()
    detector.tick(Seconds(12.2))
    detector.assign(Seconds(12.3), [])
    assert (
        unresponsive_at(detector, 12.3)
        <= 10.0 + HEARTBEAT_TIMEOUT_S + SUSPICION_TIMEOUT_S + 0.3
    )


def test_reassigned_suspect_is_dropped_when_it_replies() -> None:
    detector = detector_after_heartbeat()
    detector.tick(Seconds(12.2))
    detector.assign(Seconds(12.3), [])
    detector.record_message(Seconds(12.4), NODE)
    assert detector.nodes() == []


def test_new_process_is_probed_after_the_grace_period() -> None:
    detector = FailureDetector()
    detector.assign(Seconds(10.0), [NODE])
    assert detector.tick(Seconds(10.0 + GRACE_S - 0.1)) == []
    assert detector.tick(Seconds(10.0 + GRACE_S)) != []
