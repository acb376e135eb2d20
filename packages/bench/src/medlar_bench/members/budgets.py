"""Rows on bytes, store calls, memory and processor time of control."""

import functools
import random
import tracemalloc

import msgspec

from medlar_core.ids import NodeId
from medlar_core.members.messages import News
from medlar_core.members.record import pack
from medlar_fakes.net import wire_bytes

from ..rows import Row
from ..rows import Sense
from ..rows import Size
from .baselines import LeaseFleet
from .design import DesignNode
from .fit import at_design
from .fit import told
from .fleet import AGENTS_PER_BALANCER
from .fleet import D_AGENTS
from .fleet import D_BALANCERS
from .fleet import Fleet
from .whole import whole
from .work import Day
from .work import lose_place

FAST_SIZES = (7, 14, 21, 28)
FULL_SIZES = (14, 21, 28, 42)
"""Multiples of the seven places, so that all are alike."""
LEASE_SIZES = (7, 14, 21, 28)
DAY_S = 30.0
LOSS_S = 10.0
MEGABYTE = 1_000_000
DESIGN_S = 60.0


class Spent(msgspec.Struct, frozen=True):
    """What the busiest process spent in a time, and the store's calls.

    Bytes are per second, sent and received together.
    """

    balancer: float
    agent: float
    sent: float
    messages: float
    writes: int
    reads: int


class Budget(msgspec.Struct, frozen=True):
    """What a fleet of one size spent, on a day and in a place loss."""

    day: Spent
    loss: Spent


@functools.cache
def spent(balancers: int, seed: int) -> Budget:
    """Run a fleet of a size through part of a day and a place loss."""
    fleet = whole(balancers, seed)
    fleet.settle()
    fleet.meter()
    Day(fleet, seed).run(DAY_S)
    day = _spent(fleet, DAY_S)
    fleet.meter()
    lose_place(fleet)
    fleet.run(LOSS_S)
    return Budget(day, _spent(fleet, LOSS_S))


def sizes(size: Size) -> tuple[int, ...]:
    """Return the sizes, in balancers, that a run measures."""
    return FULL_SIZES if size is Size.FULL else FAST_SIZES


def fleet_rows(size: Size, seed: int) -> list[Row]:
    """Rows that are taken from the same runs."""
    return store_rows(size, seed) + bytes_row(size, seed)


def bytes_row(size: Size, seed: int) -> list[Row]:
    """Control bytes per second of the busiest node at design size."""
    budgets = {count: spent(count, seed) for count in sizes(size)}
    day = {count: b.day.balancer for count, b in budgets.items()}
    loss = {count: b.loss.balancer for count, b in budgets.items()}
    sent = {count: b.day.sent for count, b in budgets.items()}
    agent = max(b.day.agent for b in budgets.values())
    note = (
        f"all parts, sent and received together, derived over log size; "
        f"ordinary day {at_design(day):.0f} ({told(day)}), of it sent "
        f"{at_design(sent):.0f}; place loss, 10 s mean, "
        f"{at_design(loss):.0f} ({told(loss)}); agent {agent:.0f}"
    )
    return [
        Row(
            "control.bytes_s.D",
            max(at_design(day), at_design(loss)),
            "B/s",
            5000,
            Sense.MAX,
            seed,
            _full_gossip_bytes(seed),
            "full-state gossip, one peer a second",
            note,
        )
    ]


def store_rows(size: Size, seed: int) -> list[Row]:
    """Store calls in the worst second, of a day and of a place loss."""
    budgets = {count: spent(count, seed) for count in sizes(size)}
    base = {count: _lease_calls(count, seed) for count in LEASE_SIZES}
    rows = []
    for name, bound in (("writes", 150), ("reads", 1000)):
        worst = {
            count: float(max(getattr(b.day, name), getattr(b.loss, name)))
            for count, b in budgets.items()
        }
        lease = {count: calls[name] for count, calls in base.items()}
        note = f"all parts, derived by a straight line; {told(worst)}"
        rows.append(
            Row(
                f"store.{name}_s.D",
                at_design(worst, float),
                "calls/s",
                bound,
                Sense.MAX,
                seed,
                at_design(lease, float),
                "a lease per server",
                note,
            )
        )
    return rows


def memory_row(size: Size, seed: int) -> list[Row]:
    """Memory of one balancer's membership with all of D."""
    tracemalloc.start()
    node = DesignNode(D_BALANCERS, D_AGENTS, seed)
    node.run(1.0)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    note = f"one balancer that knows {D_BALANCERS} and {D_AGENTS} servers"
    value = held / MEGABYTE
    bound = 256
    return [
        Row(
            "control.memory_mb.D",
            value,
            "MB",
            bound,
            Sense.MAX,
            seed,
            None,
            "",
            note,
        )
    ]


def core_row(size: Size, seed: int) -> list[Row]:
    """Share of a core for one balancer's membership at D (wall)."""
    node = DesignNode(D_BALANCERS, D_AGENTS, seed)
    node.run(5.0)
    share = node.timed(DESIGN_S) / DESIGN_S
    note = (
        f"reducer, JSON codec and seal of {node.messages / DESIGN_S:.0f} "
        f"messages a second, {DESIGN_S:.0f} s of the ordinary day"
    )
    row = Row(
        "control.core_share.D",
        share,
        "core",
        0.012,
        Sense.MAX,
        seed,
        None,
        "",
        note,
    )
    return [row]


def _spent(fleet: Fleet, seconds: float) -> Spent:
    spent_bytes = fleet.sent_bytes()
    busiest = max(fleet.balancers, key=lambda node: spent_bytes[node])
    agents = max(spent_bytes[node] for node in fleet.agents)
    messages = sum(fleet.net.messages.values()) / len(fleet.balancers)
    return Spent(
        spent_bytes[busiest] / seconds,
        agents / seconds,
        fleet.net.bytes_sent[busiest] / seconds,
        messages / seconds,
        fleet.store.rate("write"),
        fleet.store.rate("read"),
    )


def _full_gossip_bytes(seed: int) -> float:
    """Return the bytes if all records go to one peer a second."""
    node = DesignNode(D_BALANCERS, D_AGENTS, seed)
    return 2.0 * wire_bytes(News(pack(node.records)))


def _lease_calls(balancers: int, seed: int) -> dict[str, float]:
    agents = round(balancers * AGENTS_PER_BALANCER)
    fleet = LeaseFleet(balancers, agents, seed)
    fleet.run(10.0)
    rng = random.Random(seed)
    lost: list[NodeId] = rng.sample(fleet.agents, agents // 7)
    for node in lost:
        fleet.net.kill(node)
    fleet.run(15.0)
    return {
        "writes": float(fleet.store.rate("write")),
        "reads": float(fleet.store.rate("read")),
    }
