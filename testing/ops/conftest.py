import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import threading
import time
from typing import Any

from aiohttp import web
import msgspec
import pytest

from medlar_core.keys.envelope import Envelope
from medlar_core.keys.envelope import unseal
from medlar_core.keys.key import Key
from medlar_core.keys.seal import Sealer
from medlar_fakes.store import Store
from medlar_standins.loopclock import LoopClock
from medlar_standins.store import make_app

KEY = Key(b"k" * 32)


class LocalFleet:
    """A store and one agent process on loopback, run by a thread."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.drained: list[float] = []
        self.version = 0
        self._thread = threading.Thread(target=self.loop.run_forever)
        self._thread.start()
        self._runners: list[web.AppRunner] = []
        self.store_fake = self.run(self._make_store)
        self.store = self.run(lambda: self._serve(make_app(self.store_fake)))
        self.node = self.run(lambda: self._serve(self._process()))
        self.sealer = Sealer((KEY,), self.node, 1)

    def run(self, make: Callable[[], Any]) -> Any:
        async def call() -> Any:
            result = make()
            return await result if asyncio.iscoroutine(result) else result

        future = asyncio.run_coroutine_threadsafe(call(), self.loop)
        return future.result(10)

    def close(self) -> None:
        for runner in self._runners:
            self.run(runner.cleanup)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()
        self.loop.close()

    def _make_store(self) -> Store:
        return Store(LoopClock())

    async def _serve(self, app: web.Application) -> str:
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        self._runners.append(runner)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        host, port = runner.addresses[0][:2]
        return f"{host}:{port}"

    def _process(self) -> web.Application:
        async def status(req: web.Request) -> web.Response:
            return web.json_response(
                {
                    "node": "?",
                    "role": "agent",
                    "place": "almaty-a",
                    "ready": True,
                    "version": self.version,
                    "servers": [{"id": "127.0.0.1:1", "state": "ready"}],
                }
            )

        async def drain(req: web.Request) -> web.Response:
            envelope = unseal(self.sealer, time.time(), await req.read())
            if not isinstance(envelope, Envelope):
                return web.Response(status=403, text=envelope.value)
            self.drained.append(msgspec.json.decode(envelope.body)["limit_s"])
            return web.Response(text="{}")

        app = web.Application()
        app.router.add_get("/v1/status", status)
        app.router.add_post("/v1/drain", drain)
        return app


@pytest.fixture
def fleet(monkeypatch: pytest.MonkeyPatch) -> Iterator[LocalFleet]:
    local_fleet = LocalFleet()
    monkeypatch.setenv("MEDLARSTAGE_STORE", local_fleet.store)
    monkeypatch.setenv("MEDLARSTAGE_KEYS", KEY.secret.hex())
    yield local_fleet
    local_fleet.close()
