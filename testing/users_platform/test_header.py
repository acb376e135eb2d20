import pytest

from medlar_core.packets import Flag
from medlar_core.relay.segment import endpoint
from medlar_core.relay.segment import FlowId
from medlar_platform.header import HeaderCodec

SYN = bytes.fromhex(
    "0000000004a1b2c3d50000c61200019c416440000701bb1122334400000000"
)
RESET = bytes.fromhex(
    "00000000400000000000006440000701bbc61200019c410000000000000000"
)
CALLER = endpoint("100.64.0.7", 40001)
ADDRESS = endpoint("198.18.0.1", 443)


def test_syn_header_is_decoded():
    segment = HeaderCodec().decode(SYN)
    assert segment.inward == FlowId(CALLER, ADDRESS)
    assert segment.flags == Flag.SYN
    assert segment.seq == 0x11223344
    assert (segment.ack, segment.size, segment.tag) == (0, 0, 0)
    assert segment.data == SYN


def test_reset_is_addressed_to_caller():
    assert HeaderCodec().reset(FlowId(CALLER, ADDRESS), 0) == RESET


def test_reset_carries_given_sequence_number():
    data = HeaderCodec().reset(FlowId(CALLER, ADDRESS), 0x01020304)
    assert HeaderCodec().decode(data).seq == 0x01020304


@pytest.mark.parametrize(
    ("wire", "flag"),
    [
        (4, Flag.SYN),
        (8, Flag.ACK),
        (16, Flag.FIN),
        (64, Flag.RST),
        (1, Flag.BOUNCED),
    ],
)
def test_each_flag_is_decoded(wire, flag):
    data = SYN[:4] + bytes([wire]) + SYN[5:]
    assert HeaderCodec().decode(data).flags == flag


def test_bounced_packet_is_delivered_as_sent():
    payload = b"x" * 10
    sent = SYN[:9] + b"\x00\x0a" + SYN[11:] + payload
    bounced = b"\x00\x00\x00\x09" + bytes([sent[4] | 1]) + sent[5:]
    assert HeaderCodec().without_bounce_marks(bounced) == sent


def test_packet_without_tag_is_delivered_unchanged():
    assert HeaderCodec().without_bounce_marks(SYN) is SYN


@pytest.mark.parametrize("data", [b"", SYN[:-1], SYN + b"x"])
def test_datagram_of_wrong_size_is_rejected(data):
    with pytest.raises(ValueError, match="expected"):
        HeaderCodec().decode(data)
