from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from medlar_core.timeline.hlc import Hlc
from medlar_core.timeline.hlc import MAX_DRIFT_MS
from medlar_core.timeline.hlc import Stamp

SKEWS = st.integers(-MAX_DRIFT_MS // 2, MAX_DRIFT_MS // 2)
STEPS = st.lists(
    st.tuples(st.integers(0, 2), st.integers(0, 2), st.integers(-5, 50)),
    min_size=1,
    max_size=60,
)


@settings(derandomize=True)
@given(skews=st.tuples(SKEWS, SKEWS, SKEWS), steps=STEPS)
def test_stamps_increase_along_a_chain_of_messages(
    skews: tuple[int, int, int], steps: list[tuple[int, int, int]]
) -> None:
    clocks = [Hlc(), Hlc(), Hlc()]
    now_ms = 1_000_000
    for src, dst, elapsed_ms in steps:
        now_ms += elapsed_ms
        sent = clocks[src].tick(now_ms + skews[src])
        assert clocks[dst].observe(now_ms + skews[dst], sent)
        assert clocks[dst].tick(now_ms + skews[dst]) > sent


def test_stamp_too_far_ahead_is_rejected() -> None:
    clock = Hlc()
    before = clock.tick(1_000)
    assert not clock.observe(1_000, Stamp(1_001 + MAX_DRIFT_MS))
    assert clock.refused == 1
    assert clock.tick(1_001) == Stamp(1_001, 0) > before


def test_stamps_increase_when_the_wall_clock_steps_back() -> None:
    clock = Hlc()
    first = clock.tick(5_000)
    assert clock.tick(1_000) > first
