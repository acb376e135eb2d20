"""The ``apply`` command."""

import asyncio
from collections.abc import Sequence
import contextlib
import getpass
import random
import re
import time
import uuid

import msgspec

from medlar_core.config.model import Configuration
from medlar_core.config.outcome import Accepted
from medlar_core.config.outcome import Change
from medlar_core.config.outcome import Outcome
from medlar_core.config.outcome import Rejected
from medlar_core.config.outcome import Unknown
from medlar_core.config.prune import prune
from medlar_core.ids import ChangeId
from medlar_core.ids import NodeId
from medlar_core.ids import Version
from medlar_core.keys.key import Key

from ..applying import Applying
from ..current import history
from ..current import NoAnswer
from ..current import Refused
from ..documents import read_document
from ..documents import run_reading
from ..output import Exit
from ..output import say
from ..output import show_json
from ..output import table
from ..output import warn
from ..processes import members
from ..processes import Processes
from ..processes import processes
from ..processes import ProcessStatus
from ..settings import read_keys
from ..settings import read_nodes
from ..settings import read_store
from ..settings import UsageError
from ..store_client import store_client
from ..store_client import StoreClient
from .check import show_problems

NAME = re.compile(r"[A-Za-z0-9@._-]{1,64}")
NAMED = "1 to 64 of letters, digits and @ . _ -"
LIMIT_S = 30.0
CONFIRM_S = 10.0
POLL_S = 0.2
SILENT_S = 1.0
MAX_POLLED = 64
"""Processes that are asked whether the version is in force."""


class InForce(msgspec.Struct, frozen=True):
    """How many processes have the version, answered, and were asked."""

    count: int
    answered: int
    asked: int


class Applied(msgspec.Struct, frozen=True):
    """The outcome, and where it is in force if processes were asked."""

    outcome: Outcome
    in_force: InForce | None = None


class _Wanted(msgspec.Struct, frozen=True):
    """What the flags ask for."""

    change: ChangeId
    by: str
    base: int | None
    cfg: Configuration
    nodes: tuple[NodeId, ...]
    limit_s: float
    confirm_s: float


def apply(
    path: str,
    *,
    base: int | None = None,
    by: str = "",
    change: str = "",
    store: str = "",
    nodes: str = "",
    keys: str = "",
    key_file: str = "",
    limit_s: float = LIMIT_S,
    confirm_s: float = CONFIRM_S,
    json: bool = False,
) -> Exit:
    """Apply a document: it is accepted whole, or nothing is changed.

    Changes that others made since the base stay where the document sets
    other fields; otherwise the conflict is told. Processes given by
    ``--nodes`` hear of the version from this tool too, so that it
    spreads also if the store goes down at that moment. Ends with 0 if
    accepted, 1 if rejected, 3 if the store did not tell in time; then
    apply the same document again with the same ``--change``.

    :param path: file with the document, - for standard input.
    :param base: version that the document was written against, as
        ``diff`` and ``show`` print it; may be left out for the first.
    :param by: your name in the history; your login if left out.
    :param change: id of the change; a new one if left out.
    :param store: ip:port of the store, or MEDLARSTAGE_STORE.
    :param nodes: ip:port of processes to tell, with commas, or
        MEDLARSTAGE_NODES.
    :param keys: the fleet's keys, or MEDLARSTAGE_KEYS.
    :param key_file: file of the keys, or MEDLARSTAGE_KEY_FILE.
    :param limit_s: seconds to try for.
    :param confirm_s: seconds to wait until it is in force; 0 for none.
    :param json: print the outcome as JSON.
    """
    address = read_store(store)
    told = read_nodes(nodes)
    secrets = read_keys(keys, key_file) if told else ()
    who = _named("--by", by or getpass.getuser())
    change_id = ChangeId(_named("--change", change or uuid.uuid4().hex))
    cfg = read_document(path)
    if not isinstance(cfg, Configuration):
        show_problems(cfg)
        return Exit.REFUSED
    if not change:
        warn(f"change id {change_id}")
    wanted = _Wanted(change_id, who, base, cfg, told, limit_s, confirm_s)
    applied = asyncio.run(_run(address, secrets, wanted))
    if json:
        show_json(applied)
    else:
        _show(applied)
    return _exit(applied.outcome)


async def _run(
    address: str, keys: tuple[Key, ...], wanted: _Wanted
) -> Applied:
    async with store_client(address) as store, processes(keys) as fleet:
        base = await _base(store, wanted)
        known = await fleet.statuses(wanted.nodes, learn=False)
        heard = [x for x in known if isinstance(x, ProcessStatus)]
        found = {status.node for status in heard} | members(heard)
        nodes = tuple(sorted(found))
        newest = max((x.version for x in heard), default=0)
        change = Change(wanted.change, wanted.by, base, Version(newest))
        applying = Applying(
            store, fleet, change, wanted.cfg, nodes, wanted.limit_s
        )
        outcome = await applying.run()
        if not isinstance(outcome, Accepted):
            return Applied(outcome)
        await _prune(store)
        if not nodes:
            return Applied(outcome)
        asked = random.sample(nodes, min(MAX_POLLED, len(nodes)))
        in_force = await _confirm(
            fleet, asked, outcome.version, wanted.confirm_s
        )
        return Applied(outcome, in_force)


async def _base(store: StoreClient, wanted: _Wanted) -> Version:
    """Return the base given; only the first change may leave it out."""
    if wanted.base is not None:
        return Version(wanted.base)
    known = await history(store)
    again = known.find_change(wanted.change)
    if known.head.version and again is None:
        raise UsageError(
            "--base",
            "",
            "the version that the document was written against;"
            f" the newest is {known.head.version}",
        )
    return Version(0)


async def _prune(store: StoreClient) -> None:
    """Delete what the history no longer keeps; a later run may go on."""
    with contextlib.suppress(NoAnswer, Refused):
        await run_reading(store, prune(await history(store)))


async def _confirm(
    fleet: Processes,
    nodes: Sequence[NodeId],
    version: Version,
    limit_s: float,
) -> InForce:
    """Wait until processes that answer have a version in force.

    One that is silent may have left; it is not waited for for long.
    """
    began = time.monotonic()
    while True:
        answers = await fleet.statuses(nodes, learn=False)
        heard = [x for x in answers if isinstance(x, ProcessStatus)]
        count = sum(status.version >= version for status in heard)
        found = InForce(count, len(heard), len(nodes))
        waited = time.monotonic() - began
        wait_s = limit_s if count < len(heard) else min(limit_s, SILENT_S)
        if count == len(nodes) or waited >= wait_s:
            return found
        await asyncio.sleep(POLL_S)


def _named(name: str, text: str) -> str:
    if not NAME.fullmatch(text):
        raise UsageError(name, text, NAMED)
    return text


def _show(applied: Applied) -> None:
    match applied.outcome:
        case Accepted() as accepted:
            say(_accepted(accepted))
            if applied.in_force is not None:
                say(_in_force(applied.in_force))
        case Rejected() as rejected:
            _show_rejected(rejected)
        case Unknown() as unknown:
            written = "may" if unknown.written else "by this run does not"
            warn(
                f"outcome unknown: the store did not answer; the change"
                f" {written} stand"
            )
            warn(f"to ask again, {unknown.how}")


def _in_force(found: InForce) -> str:
    silent = found.asked - found.answered
    left = f"; {silent} of those asked did not answer" if silent else ""
    return f"in force on {found.count} of {found.answered} processes{left}"


def _accepted(outcome: Accepted) -> str:
    if outcome.unchanged:
        return f"version {outcome.version} is the same; nothing is changed"
    again = " before" if outcome.again else ""
    merged = ", merged with other changes" if outcome.merged else ""
    return f"accepted{again} as version {outcome.version}{merged}"


def _show_rejected(outcome: Rejected) -> None:
    warn(f"rejected, nothing is changed: {outcome.why}")
    if outcome.conflicts:
        rows = [
            (x.path, x.mine, x.theirs, x.by, x.version)
            for x in outcome.conflicts
        ]
        heads = ("field", "yours", "theirs", "set by", "in version")
        say(table(heads, rows))
    if outcome.problems:
        show_problems(outcome.problems)


def _exit(outcome: Outcome) -> Exit:
    match outcome:
        case Accepted():
            return Exit.OK
        case Rejected():
            return Exit.REFUSED
        case Unknown():
            return Exit.UNKNOWN
