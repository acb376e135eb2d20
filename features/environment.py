"""Seeds each scenario and prints the time line of a failed one."""

import zlib

from medlar_bench import known
from medlar_bench.world.fleet import Fleet
from medlar_ops.timeline_text import lines

SHOWN_EVENTS = 60


def before_scenario(context, scenario):
    seed = context.config.userdata.getint("seed", 0)
    # Derived from the name, so that a scenario does not depend on others.
    seed = seed or zlib.crc32(scenario.name.encode()) % 10_000
    context.fleet = Fleet(seed)


def after_scenario(context, scenario):
    if scenario.status.name not in ("failed", "error"):
        return
    print(f"\nseed {context.fleet.seed}: {scenario.name}")
    print(lines(context.fleet.world.timeline()[-SHOWN_EVENTS:]))
    listed = [entry for entry in known.read() if entry.name == scenario.name]
    for entry in listed:
        print(f"known red: {entry.name}: {entry.seen}; issue {entry.issue}")
