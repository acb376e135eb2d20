"""Reload of settings while a process runs."""

import asyncio
import signal
from typing import Protocol

import msgspec

from medlar_core.relay.events import SeedsChanged

from ..logs import part_logger
from .process import RelayProcess
from .settings import RelaySettings

POLL_INTERVAL_S = 2.0
"""Interval at which the settings file is checked for changes."""
RELOADABLE = frozenset(("seeds",))
"""Settings that take effect without a restart; others need one."""

log = part_logger("settings")


class SettingsSource(Protocol):
    """Source of settings, such as a file."""

    def read(self) -> RelaySettings:
        """Return the current settings.

        :raises ValueError: if they cannot be read or are invalid.
        """
        ...

    def has_changed(self) -> bool:
        """Return whether the settings changed since the last read."""
        ...


class Reloader:
    """Applies changed settings; keeps those in force if reading fails."""

    def __init__(
        self, source: SettingsSource, cfg: RelaySettings, process: RelayProcess
    ) -> None:
        self._source = source
        self._cfg = cfg
        self._process = process

    def install_signal_handler(self) -> None:
        """Reload the settings on each SIGHUP."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reload, "signal")

    def reload(self, cause: str) -> None:
        """Read the settings and apply those that can change at run time."""
        try:
            cfg = self._source.read()
        except ValueError as exc:
            log.error(
                "reload failed, keeping the settings in force",
                extra={"why": str(exc)},
            )
            return
        changed = _changed_fields(self._cfg, cfg)
        self._cfg = cfg
        if "seeds" in changed:
            self._process.dispatch(SeedsChanged(cfg.seeds))
        log.info(
            "reloaded",
            extra={
                "cause": cause,
                "changed": changed,
                "need_restart": [
                    name for name in changed if name not in RELOADABLE
                ],
            },
        )

    async def poll_changes(self) -> None:
        """Reload the settings whenever the source changes, until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if self._source.has_changed():
                self.reload("file")


def _changed_fields(old: RelaySettings, new: RelaySettings) -> list[str]:
    return [
        field.name
        for field in msgspec.structs.fields(RelaySettings)
        if getattr(old, field.name) != getattr(new, field.name)
    ]
