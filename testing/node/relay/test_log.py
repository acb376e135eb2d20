import json
import logging
import os

import pytest

from medlar_node.relay.log import LogPipe


@pytest.fixture
def pipe_fds():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def line(text: str) -> logging.LogRecord:
    return logging.makeLogRecord({"msg": text, "levelno": logging.INFO})


def test_line_is_written_immediately(pipe_fds):
    reader, writer = pipe_fds
    LogPipe(writer).emit(line("started"))
    assert os.read(reader, 100) == b"started\n"


def test_stopped_reader_does_not_block_and_gets_newest_lines(pipe_fds):
    reader, writer = pipe_fds
    log = LogPipe(writer, max_pending=50)
    text = "x" * 1_000
    for number in range(1_000):
        log.emit(line(f"{number} {text}"))
    assert log.lost > 0
    assert len(log._pending) <= 50
    while log._pending:
        os.read(reader, 1_000_000)
        log._write()
    tail = os.read(reader, 1_000_000).decode().splitlines()
    assert tail[-1].startswith("999 ")


def test_lines_stay_complete_after_partial_write(pipe_fds):
    reader, writer = pipe_fds
    log = LogPipe(writer, max_pending=20)
    for number in range(200):
        log.emit(line(json.dumps({"n": number, "pad": "x" * 5_000})))
    text = b""
    while log._pending:
        text += os.read(reader, 1_000_000)
        log._write()
    text += os.read(reader, 1_000_000)
    numbers = [json.loads(part)["n"] for part in text.splitlines()]
    assert numbers == sorted(numbers)
    assert numbers[-1] == 199
