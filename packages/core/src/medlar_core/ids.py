"""Identifiers that processes exchange."""

from typing import NewType

NodeId = NewType("NodeId", str)
"""Address ``ip:port`` of a process; UDP and TCP share the port."""

ServiceName = NewType("ServiceName", str)
KindName = NewType("KindName", str)
PlaceName = NewType("PlaceName", str)
RegionName = NewType("RegionName", str)

Incarnation = NewType("Incarnation", int)
"""Start counter of a process; a larger value supersedes a smaller one."""

FlowKey = NewType("FlowKey", int)
"""64-bit hash of caller address, service address and protocol."""

Bucket = NewType("Bucket", int)
"""Index into the routing table of one service."""

Version = NewType("Version", int)
"""Monotonic counter; each use documents what it counts."""

ChangeId = NewType("ChangeId", str)
"""Unique id of an operator's change."""

IdempotencyKey = NewType("IdempotencyKey", str)
RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
StoreCallId = NewType("StoreCallId", int)

Seconds = NewType("Seconds", float)
"""Monotonic time or a duration, in seconds."""
