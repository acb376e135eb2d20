"""The table of bad days."""

from collections.abc import Callable

from . import capacity_model as design
from .capacity_bad_days import BadDay
from .capacity_bad_days import BadDays
from .capacity_model import fit
from .capacity_model import Shape
from .capacity_samples import Measured
from .capacity_samples import SIZES


def bad_days(found: Measured) -> str:
    """Return the table of bad days, the busiest balancer in each."""
    picks: list[tuple[str, Callable[[BadDays], BadDay]]] = [
        ("a place is lost, first 10 s", lambda d: d.place_lost),
        ("two regions apart for 120 s", lambda d: d.regions_apart),
        ("store down for 600 s", lambda d: d.store_down),
    ]
    lines = [
        "| day | busiest balancer, during | after | busiest agent, during "
        "| store calls/s, after | live servers taken out |",
        "|---|---|---|---|---|---|",
    ]
    for name, pick in picks:
        lines.append(_bad_day(found, name, pick))
    lines.append(_replaced(found))
    return "\n".join(lines)


def _bad_day(
    found: Measured, name: str, pick: Callable[[BadDays], BadDay]
) -> str:
    sizes = [float(day.balancers) for day in found.days]

    def at(figure: Callable[[BadDay], float], shape: Shape) -> float:
        figures = [figure(pick(day)) for day in found.days]
        return fit(sizes, figures, shape).at(design.BALANCERS)

    during = at(lambda d: d.during.balancer.bytes_most, Shape.LOG)
    after = at(lambda d: d.after.balancer.bytes_most, Shape.LOG)
    agent = at(lambda d: d.during.agent.bytes_most, Shape.LOG)
    calls = at(lambda d: d.after.reads + d.after.writes, Shape.LINE)
    out = [pick(day).taken_out for day in found.days]
    return (
        f"| {name} | {_held(during)} | {_held(after)} | {_held(agent)} "
        f"| {calls:.1f} | {', '.join(map(str, out))} at "
        f"{', '.join(map(str, SIZES))} balancers |"
    )


def _replaced(found: Measured) -> str:
    """Return the line of a day on which the whole fleet is replaced."""
    most = found.slope(lambda s: s.steady.balancer.bytes_most, Shape.LOG)
    added = found.added(lambda load: load.balancer, lambda s: s.replacement)
    moved = design.MOVED_PER_REPLACEMENT * design.FLOWS
    changes = added.at(design.BALANCERS) * design.PROCESSES
    extra = (changes + found.hint_bytes() * moved) / design.DAY_S
    total = most.at(design.BALANCERS) + extra
    return (
        f"| the whole fleet is replaced in a day, {extra:.0f} B/s of it "
        f"for changes and hints | {_held(total)} | - | - | - | not run |"
    )


def _held(bytes_s: float) -> str:
    word = "within" if bytes_s <= design.BYTES_S_BUDGET else "EXCEEDS"
    return f"{bytes_s:.0f} B/s, {word} 5,000"
