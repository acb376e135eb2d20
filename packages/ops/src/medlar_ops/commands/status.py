"""The ``status`` command."""

import asyncio
from collections.abc import Sequence

import msgspec

from medlar_core.ids import NodeId

from ..output import Exit
from ..output import say
from ..output import show_json
from ..output import table
from ..processes import NoResponse
from ..processes import processes
from ..processes import ProcessStatus
from ..settings import some_nodes


class Shown(msgspec.Struct, frozen=True):
    """A process as it is shown."""

    node: NodeId
    role: str
    place: str
    service: str
    state: str
    version: int
    open_flows: int
    open_work: int


class FleetStatus(msgspec.Struct, frozen=True):
    """Processes that answered, those that did not, and the versions."""

    processes: tuple[Shown, ...]
    silent: tuple[NoResponse, ...]
    versions: tuple[int, ...]


def status(*, nodes: str = "", json: bool = False) -> Exit:
    """Show every process: its role, state, version and open work.

    Processes that the given ones know are asked too. Ends with 3 if one
    did not answer.

    :param nodes: ip:port of processes to ask first, with commas, or
        MEDLARSTAGE_NODES.
    :param json: print the status as JSON.
    """
    asked = some_nodes(nodes)
    found = fleet_status(asyncio.run(_ask(asked)))
    if json:
        show_json(found)
    else:
        _show(found)
    return Exit.UNKNOWN if found.silent else Exit.OK


def fleet_status(answers: Sequence[ProcessStatus | NoResponse]) -> FleetStatus:
    """Return the status of the fleet from the answers of processes."""
    heard = [x for x in answers if isinstance(x, ProcessStatus)]
    silent = [x for x in answers if isinstance(x, NoResponse)]
    versions = sorted({held.version for held in heard})
    return FleetStatus(
        tuple(_shown(held) for held in heard), tuple(silent), tuple(versions)
    )


async def _ask(nodes: tuple[NodeId, ...]) -> list[ProcessStatus | NoResponse]:
    async with processes() as fleet:
        return await fleet.statuses(nodes)


def _shown(held: ProcessStatus) -> Shown:
    state = held.state or ("ready" if held.ready else "not ready")
    return Shown(
        held.node,
        held.role,
        held.place,
        held.service,
        state,
        held.version,
        held.open_flows,
        held.open_work,
    )


def _show(found: FleetStatus) -> None:
    heads = tuple(field.replace("_", " ") for field in Shown.__struct_fields__)
    rows = [msgspec.structs.astuple(held) for held in found.processes]
    say(table(heads, rows))
    for held in found.silent:
        say(f"no answer: {held.node}: {held.why}")
    if len(found.versions) > 1:
        newest = found.versions[-1]
        behind = [x.node for x in found.processes if x.version < newest]
        say(f"behind version {newest}: {', '.join(behind)}")
