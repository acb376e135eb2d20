"""Typed events that processes record on the time line."""

import enum

import msgspec


class Topic(enum.Enum):
    """What an event is about."""

    MEMBERSHIP = "membership"
    CONFIGURATION = "configuration"
    PLACEMENT = "placement"
    HANDOVER = "handover"
    DRAIN = "drain"
    ADMISSION = "admission"
    RETRY = "retry"
    VERDICT = "verdict"
    STORE = "store"
    PACKET = "packet"
    PROCESS = "process"
    KEYS = "keys"


class TimelineEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """An event without its stamp, which the recorder adds.

    Empty fields do not apply. ``text`` is one short sentence.
    """

    topic: Topic
    text: str
    service: str = ""
    server: str = ""
    flow: str = ""
    request: str = ""
    kind: str = ""
    reason: str = ""
    version: int = 0
