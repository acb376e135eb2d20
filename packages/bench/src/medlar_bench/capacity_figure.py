"""Lines of the capacity tables and how they are printed."""

import msgspec

from . import capacity_model as design
from .capacity_model import Slope


class Figure(msgspec.Struct, frozen=True):
    """One line of a table; ``budget`` of None means that there is none."""

    what: str
    formula: str
    largest: str
    value: float
    unit: str
    budget: float | None
    mechanism: str


def at_design(
    what: str,
    slope: Slope,
    unit: str,
    budget: float | None,
    mechanism: str,
) -> Figure:
    """Return a figure at the design size; n counts balancers."""
    return Figure(
        what,
        f"{slope.formula} (off by {slope.error:.0%} at most)",
        f"{slope.found:.3g} at {slope.largest:.0f}",
        slope.at(design.BALANCERS),
        unit,
        budget,
        mechanism,
    )


def table(figures: list[Figure]) -> str:
    """Return the figures as a table in markdown."""
    lines = [
        "| what | formula | largest measured | at design size | budget "
        "| margin | mechanism |",
        "|---|---|---|---|---|---|---|",
    ]
    for figure in figures:
        budget = margin = ""
        if figure.budget is not None:
            budget = f"{figure.budget:g} {figure.unit}"
            left = 1 - figure.value / figure.budget
            margin = f"{left:.0%}" if left >= 0 else "EXCEEDED"
        mechanism = f"`{figure.mechanism}`" if figure.mechanism else ""
        lines.append(
            f"| {figure.what} | {figure.formula} | {figure.largest} "
            f"| {figure.value:.4g} {figure.unit} | {budget} | {margin} "
            f"| {mechanism} |"
        )
    return "\n".join(lines)
