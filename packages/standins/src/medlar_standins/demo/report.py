"""Results of the demo: checked guarantees and other figures."""

import collections
from collections.abc import Iterable

import msgspec

from ..feeds import FeedCount
from ..requesters import FinishedRequest
from ..requesters import Outcome


class Line(msgspec.Struct, frozen=True):
    """One line of the table; ``kept`` is None for a figure without a bound."""

    name: str
    value: str
    bound: str
    kept: bool | None = None


class Span(msgspec.Struct, frozen=True):
    """A time interval of the demo, in seconds of the loop's clock."""

    begin_s: float
    end_s: float


class Ran(msgspec.Struct, frozen=True):
    """Number of runs of a key's or a call's work on a server."""

    name: str
    server: str
    times: int


class Found(msgspec.Struct, frozen=True):
    """Results of the demo, from which its table is built.

    ``runs`` tells how often the work of each key ran on which server,
    and ``calls`` the same for each single call of a caller;
    ``feeds_lost`` are those of a server that was killed on purpose, in
    which case the fleet is not ``whole`` and its flood is not checked, and
    ``flows`` are open flows per ready server after the drain.
    """

    feeds: FeedCount
    ended: tuple[FinishedRequest, ...]
    runs: tuple[Ran, ...]
    calls: tuple[Ran, ...]
    flows: tuple[int, ...]
    usual: Span
    flood: Span
    flood_kind: str
    leaving_new: int
    everywhere_s: float
    bad_ends: tuple[str, ...]
    feeds_lost: int = 0
    whole: bool = True


KEEP_MIN = 0.97
IMBALANCE_MAX = 1.15
EVERYWHERE_MAX_S = 10.0


def lines(found: Found) -> list[Line]:
    """Return the table of the demo."""
    return [
        _broken(found),
        _none("requests lost", _count(found.ended, Outcome.LOST)),
        _none("requests doubled", _doubled(found)),
        _none('false "not run"', _false_not_run(found)),
        _none("mixed answers", _count(found.ended, Outcome.MIXED)),
        _none("new work on the drained server", found.leaving_new),
        _none("processes that ended badly", len(found.bad_ends)),
        _everywhere(found),
        *_kept(found),
        _imbalance(found),
        _figure("feeds opened", found.feeds.opened),
        _figure("feed packets answered", found.feeds.echoed),
        _figure("requests", len(found.ended)),
        _figure('"may have run"', _count(found.ended, Outcome.MAY_HAVE_RUN)),
    ]


def in_deadline_share(
    ended: Iterable[FinishedRequest], kind: str, span: Span
) -> float:
    """Return the share of a kind's requests that ran, by their start."""
    all_of = [
        item
        for item in ended
        if item.kind == kind and span.begin_s <= item.began_s < span.end_s
    ]
    ran = sum(item.outcome is Outcome.RAN for item in all_of)
    return ran / len(all_of) if all_of else 0.0


def details(found: Found) -> list[str]:
    """Return a line for each request that violated a guarantee."""
    runs = _times(found.runs)
    false_keys = _false_not_run_keys(found)
    shown = []
    for item in found.ended:
        doubled = not item.idempotent and runs[item.key] > 1
        bad = item.outcome in (Outcome.LOST, Outcome.MIXED)
        if doubled or bad or item.key in false_keys:
            where = [
                f"{ran.times}x {ran.server}"
                for ran in found.runs
                if ran.name == item.key
            ]
            shown.append(
                f"{item.kind} {item.key}: {item.outcome.value} "
                f"{item.reason} after {item.took_s:.3f} s at "
                f"{item.began_s:.3f}; ran {', '.join(where) or 'nowhere'}"
            )
    return shown


def outcomes(ended: Iterable[FinishedRequest]) -> list[str]:
    """Return the counts of outcomes and reasons for each kind."""
    counts = collections.Counter(
        f"{item.kind}: {item.outcome.value} {item.reason}".rstrip()
        for item in ended
    )
    return [f"{count:6} {name}" for name, count in sorted(counts.items())]


def _none(name: str, count: int) -> Line:
    return Line(name, str(count), "0", count == 0)


def _broken(found: Found) -> Line:
    """Check broken feeds; those of a killed server are expected."""
    broken = found.feeds.broken
    kept = broken <= found.feeds_lost
    return Line("broken feeds", str(broken), str(found.feeds_lost), kept)


def _figure(name: str, value: int) -> Line:
    return Line(name, str(value), "")


def _count(ended: Iterable[FinishedRequest], outcome: Outcome) -> int:
    return sum(item.outcome is outcome for item in ended)


def _doubled(found: Found) -> int:
    """Count non-idempotent requests whose work ran more than once."""
    runs = _times(found.runs)
    keys = {item.key for item in found.ended if not item.idempotent}
    return sum(runs[key] > 1 for key in keys)


def _times(rans: Iterable[Ran]) -> collections.Counter[str]:
    times: collections.Counter[str] = collections.Counter()
    for ran in rans:
        times[ran.name] += ran.times
    return times


def _false_not_run(found: Found) -> int:
    return len(_false_not_run_keys(found))


def _false_not_run_keys(found: Found) -> set[str]:
    """Return the keys of requests that ran but got "not run".

    For non-idempotent work, any run of the key counts. Idempotent work
    can run for the first call and be rejected for its retry, so only runs
    of the same call count.
    """
    runs = _times(found.runs)
    calls = _times(found.calls)
    return {
        item.key
        for item in found.ended
        if item.outcome is Outcome.NOT_RUN
        and (calls[item.call] or (not item.idempotent and runs[item.key]))
    }


def _everywhere(found: Found) -> Line:
    return Line(
        "configuration everywhere after",
        f"{found.everywhere_s:.1f} s",
        f"{EVERYWHERE_MAX_S:.0f} s",
        found.everywhere_s <= EVERYWHERE_MAX_S,
    )


def _kept(found: Found) -> list[Line]:
    kinds = sorted({item.kind for item in found.ended})
    rows = []
    for kind in kinds:
        usual = in_deadline_share(found.ended, kind, found.usual)
        flood = in_deadline_share(found.ended, kind, found.flood)
        share = flood / usual if usual else 0.0
        name = f"{kind} kept in the flood"
        if kind == found.flood_kind or not found.whole:
            rows.append(Line(name, f"{share:.3f}", ""))
        else:
            kept = share >= KEEP_MIN
            rows.append(Line(name, f"{share:.3f}", f"{KEEP_MIN}", kept))
    return rows


def _imbalance(found: Found) -> Line:
    """Show max/mean open flows; one drain is too few to check a bound."""
    mean = sum(found.flows) / max(1, len(found.flows))
    ratio = max(found.flows, default=0) / mean if mean else 0.0
    return Line("max/mean open flows", f"{ratio:.2f}", "")


def table(rows: Iterable[Line]) -> str:
    """Return the table as text."""
    shown = [f"{'promise or figure':<34}{'value':>10}{'bound':>8}"]
    words = {True: "kept", False: "BROKEN", None: ""}
    for row in rows:
        shown.append(
            f"{row.name:<34}{row.value:>10}{row.bound:>8}  {words[row.kept]}"
        )
    return "\n".join(shown)
