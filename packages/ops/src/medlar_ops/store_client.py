"""Client of the platform's key-value store over HTTP and JSON."""

from collections.abc import AsyncIterator
import contextlib

from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import ClientTimeout
import msgspec

from medlar_core.store import StoreAnswer
from medlar_core.store import StoreOp
from medlar_core.store import Unavailable
from medlar_core.store import Watch

TIMEOUT_S = 2.0


class StoreClient:
    """Calls the store; a failed call returns ``Unavailable``."""

    def __init__(self, store: str) -> None:
        self._url = f"http://{store}/v1/call"
        self._session: ClientSession | None = None

    async def call(self, op: StoreOp) -> StoreAnswer:
        """Call the store and return its answer."""
        if self._session is None:
            self._session = ClientSession()
        wait_s = op.wait_s if isinstance(op, Watch) else 0.0
        timeout = ClientTimeout(total=TIMEOUT_S + wait_s)
        body = msgspec.json.encode(op)
        try:
            async with self._session.post(
                self._url, data=body, timeout=timeout
            ) as res:
                data = await res.read()
            return msgspec.json.decode(data, type=StoreAnswer)
        except (ClientError, OSError, TimeoutError) as exc:
            return Unavailable(type(exc).__name__)
        except msgspec.DecodeError:
            return Unavailable("malformed answer")

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()


@contextlib.asynccontextmanager
async def store_client(store: str) -> AsyncIterator[StoreClient]:
    """Open a client of the store and close it on exit."""
    client = StoreClient(store)
    try:
        yield client
    finally:
        await client.close()
