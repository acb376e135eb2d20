"""Prints what each role spends at the design size.

Run ``python -m medlar_bench.capacity``. It measures whole processes in
fleets of four sizes and prints the tables of docs/CAPACITY.md.
"""

import pathlib

import defopt

from . import capacity_model as design
from .capacity_day_table import bad_days
from .capacity_figure import at_design
from .capacity_figure import Figure
from .capacity_figure import table
from .capacity_measure import CHANGE_S
from .capacity_measure import MB
from .capacity_model import Shape
from .capacity_samples import measure_all
from .capacity_samples import Measured
from .capacity_samples import Role

BEGIN = "<!-- begin: measured -->"
END = "<!-- end: measured -->"
MODULES = {
    "BalancerFlows": "flows.balancer",
    "BalancerMembers": "members.balancer",
    "BalancerRequests": "requests.balancer",
    "ConfigReplicator": "config.spread",
}


def capacity(*, page: pathlib.Path | None = None) -> None:
    """Measure and print the tables.

    :param page: also put them between the marks of this page.
    """
    text = tables(measure_all())
    print(text)
    if page is not None:
        page.write_text(with_tables(page.read_text(), text))


def tables(found: Measured) -> str:
    """Return all tables in markdown."""
    return "\n\n".join(
        (
            "### Balancer",
            table(_balancer(found)),
            "### Balancer, processor time by part",
            table(_parts(found)),
            "### Agent",
            table(_agent(found)),
            "### Store and operators' tool",
            table(_store(found)),
            "### Bad days",
            bad_days(found),
        )
    )


def with_tables(page: str, text: str) -> str:
    """Return a page with the tables between its marks.

    :raises ValueError: if the page lacks a mark.
    """
    head, begin, rest = page.partition(BEGIN)
    _, end, tail = rest.partition(END)
    if not begin or not end:
        raise ValueError(f"expected {BEGIN} and {END} in the page")
    return f"{head}{begin}\n\n{text}\n\n{end}{tail}"


def _balancer(found: Measured) -> list[Figure]:
    state = found.slope(lambda s: s.balancer_mb)
    tables = found.slope(lambda s: s.balancer_flows_mb)
    moved = found.flow_slope(lambda c: c.balancer_state)
    day_mb = moved.rise * design.FLOWS_MOVED_PER_DAY / MB
    fixed_mb = state.at(design.BALANCERS) + tables.at(design.BALANCERS)
    figures = [
        at_design(
            "members and configuration, state",
            state,
            "MB",
            None,
            "members.table, config.held",
        ),
        at_design(
            "routing tables and doors, state",
            tables,
            "MB",
            None,
            "flows.services, requests.door",
        ),
        Figure(
            "hints of a day's moved flows, if all stay open",
            f"{moved.rise:.3g} B x {design.FLOWS_MOVED_PER_DAY:.0f} flows",
            f"{moved.largest:.0f} flows",
            day_mb,
            "MB",
            None,
            "flows.hints",
        ),
        Figure(
            "state together, ordinary day",
            "sum",
            "",
            fixed_mb + day_mb,
            "MB",
            design.MEMORY_MB_BUDGET,
            "",
        ),
        Figure(
            "state together, every open flow moved",
            f"{moved.rise:.3g} B x {design.FLOWS} flows and the rest",
            "",
            fixed_mb + moved.rise * design.FLOWS / MB,
            "MB",
            design.MEMORY_MB_BUDGET,
            "flows.hints",
        ),
    ]
    return figures + _traffic(found, lambda load: load.balancer, hints=True)


def _parts(found: Measured) -> list[Figure]:
    """Return how each part of a balancer's reducer grows."""
    names = [part.name for part in found.samples[0].parts]
    return [
        at_design(
            name,
            found.slope(lambda s, i=i: s.parts[i].core),  # type: ignore
            "core",
            None,
            MODULES.get(name, ""),
        )
        for i, name in enumerate(names)
    ]


def _agent(found: Measured) -> list[Figure]:
    state = found.slope(lambda s: s.agent_mb)
    tables = found.slope(lambda s: s.agent_flows_mb)
    flow = found.flow_slope(lambda c: c.state)
    flows_mb = flow.rise * design.FLOWS_PER_SERVER / MB
    figures = [
        at_design(
            "members and configuration, state",
            state,
            "MB",
            None,
            "members.peers, config.held",
        ),
        at_design(
            "routing tables and slots, state",
            tables,
            "MB",
            None,
            "flows.services, requests.admission",
        ),
        Figure(
            "state of one open flow",
            f"{flow.rise:.3g} B",
            f"{flow.largest:.0f} flows",
            flow.rise,
            "B",
            design.FLOW_BYTES_BUDGET,
            "flows.held",
        ),
        Figure(
            "state together",
            f"sum, {design.FLOWS_PER_SERVER:.0f} flows",
            "",
            state.at(design.BALANCERS)
            + tables.at(design.BALANCERS)
            + flows_mb,
            "MB",
            design.MEMORY_MB_BUDGET,
            "",
        ),
        _drain(found),
    ]
    return figures + _traffic(found, lambda load: load.agent, hints=False)


def _drain(found: Measured) -> Figure:
    handed = found.flow_slope(lambda c: c.agent_bytes)
    seconds = handed.rise * design.FLOWS_PER_SERVER / design.BYTES_S_BUDGET
    return Figure(
        "drain: news of all flows at 5 KB/s",
        f"{handed.rise:.3g} B x {design.FLOWS_PER_SERVER:.0f} flows / 5 KB/s",
        f"{handed.largest:.0f} flows",
        seconds,
        "s",
        None,
        "flows.announce",
    )


def _traffic(found: Measured, role: Role, hints: bool) -> list[Figure]:
    """Return bytes, messages and processor time of one role."""
    mean = found.slope(lambda s: role(s.steady).bytes_mean, Shape.LOG)
    most = found.slope(lambda s: role(s.steady).bytes_most, Shape.LOG)
    messages = found.slope(lambda s: role(s.steady).messages, Shape.LOG)
    core = found.slope(lambda s: role(s.steady).core)
    changes = _changes(found, role, hints)
    most_at = most.at(design.BALANCERS)
    codec = (
        messages.at(design.BALANCERS) * found.codec.per_message_s
        + most_at * found.codec.per_byte_s
    )
    core_at = core.at(design.BALANCERS)
    return [
        at_design(
            "control, mean process",
            mean,
            "B/s",
            None,
            "members.reporter, members.sync, config.gossip",
        ),
        at_design(
            "control, busiest process", most, "B/s", None, "members.assign"
        ),
        Figure(
            "control, the day's changes",
            "per change x changes a day",
            "",
            changes,
            "B/s",
            None,
            "members.news, config.spread",
        ),
        Figure(
            "control together, busiest",
            "sum",
            "",
            most_at + changes,
            "B/s",
            design.BYTES_S_BUDGET,
            "",
        ),
        at_design("control messages", messages, "1/s", None, "wire"),
        at_design(
            "reducers, no change going on", core, "core", None, "compose"
        ),
        Figure(
            "coding and sealing",
            f"{found.codec.per_message_s * 1e6:.3g} us a message",
            "",
            codec,
            "core",
            None,
            "keys.seal",
        ),
        Figure(
            "processor time together",
            "sum",
            "",
            core_at + codec,
            "core",
            design.CORE_BUDGET,
            "",
        ),
    ]


def _changes(found: Measured, role: Role, hints: bool) -> float:
    """Return the bytes a second of an ordinary day's changes."""
    replaced = found.added(role, lambda s: s.replacement)
    applied = found.added(role, lambda s: s.change)
    per_day = (
        replaced.at(design.BALANCERS) * design.REPLACEMENTS_PER_DAY
        + applied.at(design.BALANCERS) * design.CHANGES_PER_DAY
    )
    if hints:
        per_day += found.hint_bytes() * design.FLOWS_MOVED_PER_DAY
    return per_day / design.DAY_S


def _store(found: Measured) -> list[Figure]:
    reads = found.slope(lambda s: s.steady.reads)
    writes = found.slope(lambda s: s.steady.writes)
    calls = found.slope(
        lambda s: (
            max(
                0.0,
                s.change.reads
                + s.change.writes
                - s.steady.reads
                - s.steady.writes,
            )
            * CHANGE_S
        )
    )
    document = found.slope(lambda s: s.document_mb)
    return [
        at_design(
            "reads, no change going on",
            reads,
            "calls/s",
            design.READS_S_BUDGET,
            "config.watchers, members.seeds",
        ),
        at_design(
            "writes, no change going on",
            writes,
            "calls/s",
            design.WRITES_S_BUDGET,
            "members.seeds, storeaccess",
        ),
        at_design(
            "calls of one configuration change, whole fleet",
            calls,
            "calls",
            None,
            "config.writer, config.watch",
        ),
        at_design("document, whole", document, "MB", None, "config.parts"),
    ]


if __name__ == "__main__":
    defopt.run(capacity)
