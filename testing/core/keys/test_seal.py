from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from medlar_core.ids import NodeId
from medlar_core.keys.key import InvalidKeys
from medlar_core.keys.key import Key
from medlar_core.keys.key import parse_keys
from medlar_core.keys.replay import MAX_SENDERS
from medlar_core.keys.replay import ReplayCheck
from medlar_core.keys.replay import ReplayWindow
from medlar_core.keys.replay import WINDOW_S
from medlar_core.keys.seal import MAX_SEALED_BYTES
from medlar_core.keys.seal import Sealer
from medlar_core.keys.seal import SealReason
from medlar_core.keys.seal import SealRefusal
from medlar_core.keys.seal import Unsealed

OLD = Key(b"o" * 32)
NEW = Key(b"n" * 32)
A = NodeId("10.0.0.1:7000")
B = NodeId("10.0.0.2:7000")
NOW = 1_800_000_000.0


def sealers() -> tuple[Sealer, Sealer]:
    return Sealer((OLD,), A, 1), Sealer((OLD,), B, 2)


def test_opened_message_has_its_sender() -> None:
    a, b = sealers()
    assert b.open(NOW, a.seal(NOW, b"hello", B)) == Unsealed(A, b"hello")


def test_message_for_another_process_is_refused() -> None:
    a, b = sealers()
    other = a.seal(NOW, b"drain", NodeId("10.0.0.3:7000"))
    assert b.open(NOW, other) == SealRefusal(SealReason.BAD_MAC)


def test_replay_is_refused_and_counted() -> None:
    a, b = sealers()
    data = a.seal(NOW, b"x", B)
    b.open(NOW, data)
    assert b.open(NOW + 1, data) == SealRefusal(SealReason.REPLAYED)
    assert b.refused[SealReason.REPLAYED] == 1


@pytest.mark.parametrize("skew", [-WINDOW_S - 1, WINDOW_S + 1])
def test_stamp_outside_the_window_is_refused(skew: float) -> None:
    a, b = sealers()
    data = a.seal(NOW + skew, b"x", B)
    assert b.open(NOW, data) == SealRefusal(SealReason.STALE)


def test_reordered_messages_open_once_each() -> None:
    a, b = sealers()
    sent = [a.seal(NOW, b"%d" % i, B) for i in range(50)]
    sent.reverse()
    assert all(isinstance(b.open(NOW, data), Unsealed) for data in sent)
    assert all(isinstance(b.open(NOW, data), SealRefusal) for data in sent)


def test_replay_from_an_earlier_run_is_refused() -> None:
    a, b = sealers()
    old = a.seal(NOW, b"old", B)
    b.open(NOW, old)
    restarted = Sealer((OLD,), A, 99)
    assert isinstance(b.open(NOW, restarted.seal(NOW, b"new", B)), Unsealed)
    assert b.open(NOW, old) == SealRefusal(SealReason.REPLAYED)


def test_key_rotation_keeps_messages_valid_at_every_step() -> None:
    a, b = sealers()
    for keys_a, keys_b in [
        ((OLD,), (OLD, NEW)),
        ((NEW, OLD), (OLD, NEW)),
        ((NEW, OLD), (NEW,)),
        ((NEW,), (NEW, OLD)),
    ]:
        a.use(keys_a)
        b.use(keys_b)
        assert isinstance(b.open(NOW, a.seal(NOW, b"x", B)), Unsealed)
        if keys_a[0] in keys_b and keys_b[0] in keys_a:
            assert isinstance(a.open(NOW, b.seal(NOW, b"y", A)), Unsealed)


def test_removed_key_is_refused() -> None:
    a, b = sealers()
    b.use((NEW,))
    data = a.seal(NOW, b"x", B)
    assert b.open(NOW, data) == SealRefusal(SealReason.UNKNOWN_KEY)


def test_oversized_message_is_refused() -> None:
    _, b = sealers()
    data = bytes(MAX_SEALED_BYTES + 1)
    assert b.open(NOW, data) == SealRefusal(SealReason.TOO_LARGE)


@settings(derandomize=True, max_examples=200)
@given(st.binary(max_size=200))
def test_random_bytes_are_refused(data: bytes) -> None:
    _, b = sealers()
    assert isinstance(b.open(NOW, data), SealRefusal)


@settings(derandomize=True, max_examples=200)
@given(st.data())
def test_flipped_bit_is_refused(data: st.DataObject) -> None:
    a, b = sealers()
    sealed = bytearray(a.seal(NOW, b"body", B))
    bit = data.draw(st.integers(0, len(sealed) * 8 - 1))
    sealed[bit // 8] ^= 1 << bit % 8
    assert isinstance(b.open(NOW, bytes(sealed)), SealRefusal)


def test_senders_are_bounded_and_expired_ones_evicted() -> None:
    window = ReplayWindow()
    for i in range(MAX_SENDERS):
        assert window.check(NOW, A, i, 0, NOW) is ReplayCheck.NEW
    assert window.check(NOW, A, MAX_SENDERS, 0, NOW) is ReplayCheck.FULL
    later = NOW + 3 * WINDOW_S
    assert window.check(later, A, MAX_SENDERS, 0, later) is ReplayCheck.NEW
    assert len(window) == 1


@settings(derandomize=True, max_examples=100)
@given(st.lists(st.integers(0, 3000), max_size=60))
def test_no_counter_is_new_twice(counters: list[int]) -> None:
    window = ReplayWindow()
    new = [
        n
        for n in counters
        if window.check(NOW, A, 1, n, NOW) is ReplayCheck.NEW
    ]
    assert len(new) == len(set(new))


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", "got 0 keys"),
        ("zz" * 16, "line 1: got text that is not hexadecimal"),
        ("# old\naabb", "line 2: got 2 bytes"),
        (",".join(["ab" * 16] * 2), "the same key twice"),
        ("\n".join(f"{i:032x}" for i in range(3)), "got 3 keys"),
    ],
)
def test_invalid_key_setting_error_omits_the_secret(
    text: str, expected: str
) -> None:
    fault = parse_keys(text)
    assert isinstance(fault, InvalidKeys)
    assert expected in fault.text
    assert "zz" not in fault.text


def test_first_parsed_key_is_the_current_one() -> None:
    text = f"# new\n{NEW.secret.hex()}\n\n{OLD.secret.hex()}\n"
    assert parse_keys(text) == (NEW, OLD)
    assert NEW.secret.hex() not in repr(NEW)
