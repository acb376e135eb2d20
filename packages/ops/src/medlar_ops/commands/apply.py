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

from ..accepted_versions import history
from ..accepted_versions import RequestRefused
from ..accepted_versions import StoreNotAnswering
from ..change_applier import ChangeApplier
from ..documents import read_document
from ..documents import run_reading
from ..output import Exit
from ..output import print_json
from ..output import print_text
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
NAME_FORMAT = "1 to 64 of letters, digits and @ . _ -"
LIMIT_S = 30.0
CONFIRM_S = 10.0
POLL_S = 0.2
NOT_RESPONDING_WAIT_S = 1.0
MAX_POLLED = 64
"""Processes polled for the version in force."""


class InForce(msgspec.Struct, frozen=True):
    """Numbers of processes with the version, responding, and polled."""

    count: int
    answered: int
    asked: int


class ApplyResult(msgspec.Struct, frozen=True):
    """The outcome, and where it is in force if processes were polled."""

    outcome: Outcome
    in_force: InForce | None = None


class _ApplyRequest(msgspec.Struct, frozen=True):
    """The change requested by the arguments."""

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
    """Apply a document; it is accepted as a whole or nothing is changed.

    Changes that others made since the base are kept if the document does
    not change the same fields; otherwise the conflict is reported. The
    version is also sent to the processes in ``--nodes``, so that it
    spreads even if the store becomes unavailable at that moment.

    Ends with 0 if accepted, 1 if rejected, 3 if the store did not tell in
    time; then apply the same document again with the same ``--change``.

    :param path: file with the document, - for standard input.
    :param base: version that the document was written against, as
        ``diff`` and ``show`` print it; may be omitted for the first.
    :param by: your name in the history; by default your login.
    :param change: id of the change; by default a new one.
    :param store: ip:port of the store, or MEDLARSTAGE_STORE.
    :param nodes: ip:port of processes to notify, separated by commas, or
        MEDLARSTAGE_NODES.
    :param keys: the fleet's keys, or MEDLARSTAGE_KEYS.
    :param key_file: file of the keys, or MEDLARSTAGE_KEY_FILE.
    :param limit_s: seconds to try for.
    :param confirm_s: seconds to wait until it is in force; 0 for none.
    :param json: print the outcome as JSON.
    """
    address = read_store(store)
    notified = read_nodes(nodes)
    secrets = read_keys(keys, key_file) if notified else ()
    who = _check_name("--by", by or getpass.getuser())
    change_id = ChangeId(_check_name("--change", change or uuid.uuid4().hex))
    cfg = read_document(path)
    if not isinstance(cfg, Configuration):
        show_problems(cfg)
        return Exit.REFUSED
    if not change:
        warn(f"change id {change_id}")
    request = _ApplyRequest(
        change_id, who, base, cfg, notified, limit_s, confirm_s
    )
    applied = asyncio.run(_run(address, secrets, request))
    if json:
        print_json(applied)
    else:
        _show(applied)
    return _exit(applied.outcome)


async def _run(
    address: str, keys: tuple[Key, ...], request: _ApplyRequest
) -> ApplyResult:
    async with store_client(address) as store, processes(keys) as fleet:
        base = await _base(store, request)
        known = await fleet.statuses(request.nodes, discover=False)
        responding = [x for x in known if isinstance(x, ProcessStatus)]
        known_nodes = {status.node for status in responding} | members(
            responding
        )
        nodes = tuple(sorted(known_nodes))
        newest = max((x.version for x in responding), default=0)
        change = Change(request.change, request.by, base, Version(newest))
        applier = ChangeApplier(
            store, fleet, change, request.cfg, nodes, request.limit_s
        )
        outcome = await applier.run()
        if not isinstance(outcome, Accepted):
            return ApplyResult(outcome)
        await _prune(store)
        if not nodes:
            return ApplyResult(outcome)
        polled = random.sample(nodes, min(MAX_POLLED, len(nodes)))
        in_force = await _confirm(
            fleet, polled, outcome.version, request.confirm_s
        )
        return ApplyResult(outcome, in_force)


async def _base(store: StoreClient, request: _ApplyRequest) -> Version:
    """Return the given base; only the first change may omit it."""
    if request.base is not None:
        return Version(request.base)
    known = await history(store)
    earlier = known.find_change(request.change)
    if known.head.version and earlier is None:
        raise UsageError(
            "--base",
            "",
            "the version that the document was written against;"
            f" the newest is {known.head.version}",
        )
    return Version(0)


async def _prune(store: StoreClient) -> None:
    """Delete data that the history no longer uses.

    If the store does not answer, a later run continues.
    """
    with contextlib.suppress(StoreNotAnswering, RequestRefused):
        await run_reading(store, prune(await history(store)))


async def _confirm(
    fleet: Processes,
    nodes: Sequence[NodeId],
    version: Version,
    limit_s: float,
) -> InForce:
    """Wait until the responding processes have a version in force.

    A process that does not respond may have left the fleet, so once all
    responding ones have the version, the wait is at most
    ``NOT_RESPONDING_WAIT_S``.
    """
    started_at = time.monotonic()
    while True:
        statuses = await fleet.statuses(nodes, discover=False)
        responding = [x for x in statuses if isinstance(x, ProcessStatus)]
        count = sum(status.version >= version for status in responding)
        found = InForce(count, len(responding), len(nodes))
        waited_s = time.monotonic() - started_at
        wait_s = (
            limit_s
            if count < len(responding)
            else min(limit_s, NOT_RESPONDING_WAIT_S)
        )
        if count == len(nodes) or waited_s >= wait_s:
            return found
        await asyncio.sleep(POLL_S)


def _check_name(name: str, text: str) -> str:
    if not NAME.fullmatch(text):
        raise UsageError(name, text, NAME_FORMAT)
    return text


def _show(applied: ApplyResult) -> None:
    match applied.outcome:
        case Accepted() as accepted:
            print_text(_accepted(accepted))
            if applied.in_force is not None:
                print_text(_in_force(applied.in_force))
        case Rejected() as rejected:
            _show_rejected(rejected)
        case Unknown() as unknown:
            written = (
                "the change may have been accepted"
                if unknown.written
                else "this run did not write the change"
            )
            warn(f"outcome unknown: the store did not answer; {written}")
            warn(f"to try again, {unknown.how}")


def _in_force(found: InForce) -> str:
    silent = found.asked - found.answered
    left = f"; {silent} of those asked did not answer" if silent else ""
    return f"in force on {found.count} of {found.answered} processes{left}"


def _accepted(outcome: Accepted) -> str:
    if outcome.unchanged:
        return f"version {outcome.version} is the same; nothing is changed"
    earlier = " before" if outcome.again else ""
    merged = ", merged with other changes" if outcome.merged else ""
    return f"accepted{earlier} as version {outcome.version}{merged}"


def _show_rejected(outcome: Rejected) -> None:
    warn(f"rejected, nothing is changed: {outcome.why}")
    if outcome.conflicts:
        rows = [
            (x.path, x.mine, x.theirs, x.by, x.version)
            for x in outcome.conflicts
        ]
        headers = ("field", "yours", "theirs", "set by", "in version")
        print_text(table(headers, rows))
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
