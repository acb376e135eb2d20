"""All measurements of the benchmark, gathered from its areas."""

import importlib

from .rows import Measurement

AREAS = ("flows", "requests", "members", "config", "timeline", "relay")


def gather(prefix: str = "") -> tuple[Measurement, ...]:
    """Return the measurements that give a row named ``prefix...``.

    An area that is not built gives none; its rows show as missing.

    :raises ImportError: if an area exists and cannot be imported.
    """
    found: list[Measurement] = []
    for area in AREAS:
        found.extend(_of_area(area))
    return tuple(m for m in found if wanted(m.names, prefix))


def wanted(names: tuple[str, ...], prefix: str) -> bool:
    """Return whether one of the names starts with the prefix."""
    return any(name.startswith(prefix) for name in names)


def _of_area(area: str) -> tuple[Measurement, ...]:
    name = f"{__package__}.{area}"
    try:
        module = importlib.import_module(name)
    except ModuleNotFoundError as exc:
        if exc.name != name:
            raise
        return ()
    return tuple(getattr(module, "MEASUREMENTS", ()))
