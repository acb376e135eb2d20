"""Settings that change while a process runs."""

import asyncio
import signal
from typing import Protocol

import msgspec

from medlar_core.relay.events import SeedsChanged

from ..logs import part_logger
from .process import RelayProcess
from .settings import RelaySettings

LOOK_EVERY_S = 2.0
"""A settings file that changed without a signal is read by then."""
APPLIED = frozenset(("seeds",))
"""Settings that take effect without a restart."""

log = part_logger("settings")


class SettingsSource(Protocol):
    """Where settings come from."""

    def read(self) -> RelaySettings:
        """Return the settings as they are now.

        :raises ValueError: if they cannot be used.
        """
        ...

    def has_changed(self) -> bool:
        """Return whether the settings changed since they were read."""
        ...


class Reloader:
    """Puts changed settings in force; keeps the old ones if it can't."""

    def __init__(
        self, source: SettingsSource, cfg: RelaySettings, process: RelayProcess
    ) -> None:
        self._source = source
        self._cfg = cfg
        self._process = process

    def listen(self) -> None:
        """Read the settings again at each hangup signal."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reload, "signal")

    def reload(self, cause: str) -> None:
        """Read the settings and put what changed in force."""
        try:
            cfg = self._source.read()
        except ValueError as exc:
            log.error("kept the old ones", extra={"why": str(exc)})
            return
        changed = _changed(self._cfg, cfg)
        self._cfg = cfg
        if "seeds" in changed:
            self._process.give(SeedsChanged(cfg.seeds))
        log.info(
            "reloaded",
            extra={
                "cause": cause,
                "changed": changed,
                "need_restart": [n for n in changed if n not in APPLIED],
            },
        )

    async def watching(self) -> None:
        """Look for changes until cancelled."""
        while True:
            await asyncio.sleep(LOOK_EVERY_S)
            if self._source.has_changed():
                self.reload("file")


def _changed(old: RelaySettings, new: RelaySettings) -> list[str]:
    return [
        field.name
        for field in msgspec.structs.fields(RelaySettings)
        if getattr(old, field.name) != getattr(new, field.name)
    ]
