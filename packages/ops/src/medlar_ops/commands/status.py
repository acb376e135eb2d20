"""The ``status`` command."""

import asyncio
from collections.abc import Sequence

import msgspec

from medlar_core.ids import NodeId

from ..output import Exit
from ..output import print_json
from ..output import print_text
from ..output import table
from ..processes import NoResponse
from ..processes import processes
from ..processes import ProcessStatus
from ..settings import require_nodes


class ProcessRow(msgspec.Struct, frozen=True):
    """A process in the output."""

    node: NodeId
    role: str
    place: str
    service: str
    state: str
    version: int
    open_flows: int
    open_work: int


class FleetStatus(msgspec.Struct, frozen=True):
    """Processes that responded, those that did not, and their versions."""

    processes: tuple[ProcessRow, ...]
    silent: tuple[NoResponse, ...]
    versions: tuple[int, ...]


def status(*, nodes: str = "", json: bool = False) -> Exit:
    """Show every process: its role, state, version and open work.

    The processes that the given ones know are queried too. Ends with 3 if
    one did not answer.

    :param nodes: ip:port of processes to query first, separated by commas,
        or MEDLARSTAGE_NODES.
    :param json: print the status as JSON.
    """
    start_nodes = require_nodes(nodes)
    found = fleet_status(asyncio.run(_query(start_nodes)))
    if json:
        print_json(found)
    else:
        _show(found)
    return Exit.UNKNOWN if found.silent else Exit.OK


def fleet_status(results: Sequence[ProcessStatus | NoResponse]) -> FleetStatus:
    """Combine the responses of processes into the status of the fleet."""
    responding = [x for x in results if isinstance(x, ProcessStatus)]
    silent = [x for x in results if isinstance(x, NoResponse)]
    versions = sorted({entry.version for entry in responding})
    return FleetStatus(
        tuple(_process_row(entry) for entry in responding),
        tuple(silent),
        tuple(versions),
    )


async def _query(
    nodes: tuple[NodeId, ...],
) -> list[ProcessStatus | NoResponse]:
    async with processes() as fleet:
        return await fleet.statuses(nodes)


def _process_row(entry: ProcessStatus) -> ProcessRow:
    state = entry.state or ("ready" if entry.ready else "not ready")
    return ProcessRow(
        entry.node,
        entry.role,
        entry.place,
        entry.service,
        state,
        entry.version,
        entry.open_flows,
        entry.open_work,
    )


def _show(found: FleetStatus) -> None:
    headers = tuple(
        field.replace("_", " ") for field in ProcessRow.__struct_fields__
    )
    rows = [msgspec.structs.astuple(entry) for entry in found.processes]
    print_text(table(headers, rows))
    for entry in found.silent:
        print_text(f"no answer: {entry.node}: {entry.why}")
    if len(found.versions) > 1:
        newest = found.versions[-1]
        behind = [x.node for x in found.processes if x.version < newest]
        print_text(f"behind version {newest}: {', '.join(behind)}")
