from medlar_core.ids import NodeId
from medlar_core.ids import Seconds
from medlar_core.members.failure_detector import GRACE_S
from medlar_core.members.failure_detector import HEARTBEAT_S
from medlar_core.members.failure_detector import HEARTBEAT_TIMEOUT_S
from medlar_core.members.failure_detector import Silent
from medlar_core.members.failure_detector import SUSPICION_TIMEOUT_S
from medlar_core.members.failure_detector import Watch

NODE = NodeId("10.2.0.1:7")


def watch(beat_at: float = 10.0) -> Watch:
    made = Watch()
    made.assign(Seconds(beat_at - 1.0), [NODE])
    made.beaten(Seconds(beat_at), NODE)
    return made


def silent_at(made: Watch, start: float) -> float:
    now = start
    while now < start + 20.0:
        if any(isinstance(f, Silent) for f in made.tick(Seconds(now))):
            return now
        now = round(now + 0.1, 1)
    return now


def test_missing_beat_ends_in_silence() -> None:
    found = silent_at(watch(), 10.0)
    assert (
        HEARTBEAT_TIMEOUT_S + SUSPICION_TIMEOUT_S
        <= found - 10.0
        <= HEARTBEAT_TIMEOUT_S + SUSPICION_TIMEOUT_S + 0.2
    )


def test_answer_before_the_missing_beat_puts_nothing_off() -> None:
    made = watch()
    made.heard(Seconds(12.0), NODE)
    assert (
        silent_at(made, 12.0)
        <= 10.0 + HEARTBEAT_TIMEOUT_S + SUSPICION_TIMEOUT_S + 0.2
    )


def test_answer_to_a_probe_waits_for_the_next_beat() -> None:
    made = watch()
    made.tick(Seconds(12.2))
    made.heard(Seconds(12.3), NODE)
    assert (
        silent_at(made, 12.3)
        >= 10.0 + HEARTBEAT_S + HEARTBEAT_TIMEOUT_S + SUSPICION_TIMEOUT_S
    )


def test_older_evidence_clears_no_suspicion() -> None:
    made = watch()
    made.tick(Seconds(12.2))
    made.heard(Seconds(12.4), NODE, age=0.3)
    assert (
        silent_at(made, 12.4)
        <= 10.0 + HEARTBEAT_TIMEOUT_S + SUSPICION_TIMEOUT_S + 0.3
    )


def test_balancer_that_never_heard_of_a_process_vouches_for_nothing() -> None:
    made = Watch()
    made.assign(Seconds(10.0), [NODE])
    assert made.age(Seconds(10.1), NODE) == float("inf")


def test_suspect_is_judged_though_others_watch_it_now() -> None:
    made = watch()
    made.tick(Seconds(12.2))
    made.assign(Seconds(12.3), [])
    assert (
        silent_at(made, 12.3)
        <= 10.0 + HEARTBEAT_TIMEOUT_S + SUSPICION_TIMEOUT_S + 0.3
    )


def test_process_watched_by_others_is_let_go_when_it_answers() -> None:
    made = watch()
    made.tick(Seconds(12.2))
    made.assign(Seconds(12.3), [])
    made.heard(Seconds(12.4), NODE)
    assert made.nodes() == []


def test_new_process_is_probed_after_a_grace() -> None:
    made = Watch()
    made.assign(Seconds(10.0), [NODE])
    assert made.tick(Seconds(10.0 + GRACE_S - 0.1)) == []
    assert made.tick(Seconds(10.0 + GRACE_S)) != []
