import msgspec

from medlar_core.ids import NodeId
from medlar_core.relay.events import SeedsChanged
from medlar_node.relay.reload import Reloader
from medlar_node.relay.settings import RelaySettings


class FakeSource:
    def __init__(self, cfg: RelaySettings) -> None:
        self.cfg: RelaySettings | None = cfg

    def read(self) -> RelaySettings:
        if self.cfg is None:
            raise ValueError("unreadable")
        return self.cfg

    def has_changed(self) -> bool:
        return False


class FakeProcess:
    def __init__(self) -> None:
        self.events: list[SeedsChanged] = []

    def dispatch(self, event: SeedsChanged) -> None:
        self.events.append(event)


def test_changed_seeds_are_dispatched(cfg):
    source, process = FakeSource(cfg), FakeProcess()
    reloader = Reloader(source, cfg, process)
    seeds = (NodeId("127.0.0.1:9"),)
    source.cfg = msgspec.structs.replace(cfg, seeds=seeds)
    reloader.reload("signal")
    reloader.reload("signal")
    assert process.events == [SeedsChanged(seeds)]


def test_invalid_settings_keep_those_in_force(cfg, caplog):
    source, process = FakeSource(cfg), FakeProcess()
    reloader = Reloader(source, cfg, process)
    source.cfg = None
    reloader.reload("file")
    assert process.events == []
    assert "reload failed, keeping the settings in force" in caplog.text


def test_fields_that_need_restart_are_logged(cfg, caplog):
    source, process = FakeSource(cfg), FakeProcess()
    reloader = Reloader(source, cfg, process)
    source.cfg = msgspec.structs.replace(cfg, store="127.0.0.1:99")
    with caplog.at_level("INFO"):
        reloader.reload("file")
    assert caplog.records[-1].need_restart == ["store"]
