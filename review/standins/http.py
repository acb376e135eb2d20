"""Just enough HTTP/1.1 for the stand-ins: one request a connection or more."""

import asyncio
import contextlib


async def read_message(reader) -> tuple[str, dict[str, str], bytes] | None:
    """Return first line, headers and body; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    body = await reader.readexactly(size) if size else b""
    return first, headers, body


def message(first: str, body: bytes, *headers: str) -> bytes:
    """Return the bytes of a request or response."""
    lines = [first, *headers, "Content-Type: application/json"]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes = b"",
    limit_s: float = 1.0,
) -> int:
    """Return the status of a call, 0 without an answer within the limit."""
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*address)
            host = f"Host: {address[0]}:{address[1]}"
            writer.write(message(f"{method} {path} HTTP/1.1", body, host))
            answer = await read_message(reader)
            return int(answer[0].split()[1]) if answer else 0
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0
    finally:
        if writer is not None:
            writer.close()


@contextlib.asynccontextmanager
async def serving(address: tuple[str, int], respond):
    """Serve ``respond(method, target, body) -> (status, body)``."""
    tasks = set()

    async def serve(reader, writer):
        tasks.add(asyncio.current_task())
        try:
            while (request := await read_message(reader)) is not None:
                method, target, _ = request[0].split()
                status, body = await respond(method, target, request[2])
                writer.write(message(f"HTTP/1.1 {status} -", body))
                await writer.drain()
        except (OSError, asyncio.CancelledError, asyncio.IncompleteReadError):
            pass
        finally:
            tasks.discard(asyncio.current_task())
            writer.close()

    server = await asyncio.start_server(serve, *address)
    try:
        yield
    finally:
        server.close()
        for task in list(tasks):
            task.cancel()
