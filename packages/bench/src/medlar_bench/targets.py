"""Stated targets: every row that must be measured, and its bound.

A bound is a target of the users. It is written here once; a measure
that states another bound for its row is refused.
"""

import msgspec

from .rows import Row
from .rows import Sense


class Target(msgspec.Struct, frozen=True):
    """The stated bound of one row."""

    name: str
    sense: Sense
    bound: float
    unit: str
    wall: bool = False


def _most(name: str, bound: float, unit: str, wall: bool = False) -> Target:
    return Target(name, Sense.MAX, bound, unit, wall)


def _least(name: str, bound: float, unit: str) -> Target:
    return Target(name, Sense.MIN, bound, unit)


TARGETS: tuple[Target, ...] = (
    _most("flows.broken.drain", 0, "flows"),
    _most("flows.broken.join", 0, "flows"),
    _most("flows.broken.balancer", 0, "flows"),
    _most("flows.broken.uneven", 0, "flows"),
    _most("flows.broken.mixed", 0, "flows"),
    _most("flows.foreign", 0, "packets"),
    _most("flows.imbalance.A", 1.15, "max/mean"),
    _most("flows.imbalance.S", 1.15, "max/mean"),
    _most("flows.imbalance.D", 1.25, "max/mean"),
    _most("flows.leaving_new_s", 3, "s"),
    _most("flows.extra_hops", 0.02, "share"),
    _most("flows.syn_flood", 0, "flows"),
    _most("flows.decide.slope", 1.5, "ratio", wall=True),
    _most("flows.decide.cost", 1.0, "ratio", wall=True),
    _most("flows.state_bytes.held", 256, "bytes"),
    _most("flows.state_bytes.elsewhere", 64, "bytes"),
    _most("requests.lost", 0, "requests"),
    _most("requests.doubled", 0, "requests"),
    _most("requests.false_not_run", 0, "verdicts"),
    _most("requests.mixed_answer", 0, "answers"),
    _most("requests.retry_amplification", 1.1, "attempts/request"),
    _most("requests.unknown_share", 0.001, "share"),
    _least("flood.keep.least.A", 0.97, "share"),
    _least("flood.keep.least.S", 0.97, "share"),
    _least("flood.keep.most.A", 0.95, "share"),
    _least("flood.keep.most.S", 0.95, "share"),
    _most("flood.wait.A", 2.0, "ratio"),
    _most("flood.wait.S", 2.0, "ratio"),
    _least("flood.cross.A", 0.97, "share"),
    _least("flood.cross.S", 0.97, "share"),
    _least("flood.used", 0.95, "share"),
    _most("flood.recover_s", 5, "s"),
    _least("flood.cold", 0.9, "share"),
    _least("flood.lying", 0.95, "share"),
    _most("load.imbalance.A", 1.25, "max/mean"),
    _most("load.imbalance.S", 1.25, "max/mean"),
    _most("config.everywhere_s.D", 10, "s"),
    _most("config.everywhere_outage_s", 10, "s"),
    _most("config.reverts", 0, "processes"),
    _most("config.lost_or_doubled", 0, "changes"),
    _most("member.false_dead", 0, "servers"),
    _most("member.detect_s", 3, "s"),
    _most("member.fenced", 0, "writes"),
    _most("store.writes_s.D", 150, "calls/s"),
    _most("store.reads_s.D", 1000, "calls/s"),
    _most("control.bytes_s.D", 5000, "bytes/s"),
    _most("control.core_share.D", 0.012, "share of a core", wall=True),
    _most("control.memory_mb.D", 256, "MB"),
    _most("recover.cold_fleet_s", 15, "s"),
    _most("recover.store_back_s", 30, "s"),
)
"""All stated rows in the order they are shown."""

_BY_NAME = {target.name: target for target in TARGETS}


def target_of(name: str) -> Target | None:
    """Return the stated target of a row, None for a row of our own."""
    return _BY_NAME.get(name)


def differs(row: Row) -> bool:
    """Return whether a row states another bound than its target."""
    target = target_of(row.name)
    if target is None:
        return False
    return (row.bound, row.sense) != (target.bound, target.sense)
