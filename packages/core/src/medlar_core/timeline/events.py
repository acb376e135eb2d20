"""Typed events that processes put on the time line."""

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
    """What happened, to whom, and why; the recorder adds the stamp.

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
