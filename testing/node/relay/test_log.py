import json
import logging
import os

import pytest

from medlar_node.relay.log import LogPipe


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def line(text: str) -> logging.LogRecord:
    return logging.makeLogRecord({"msg": text, "levelno": logging.INFO})


def test_lines_are_written_at_once(pipe):
    reader, writer = pipe
    LogPipe(writer).emit(line("started"))
    assert os.read(reader, 100) == b"started\n"


def test_a_reader_that_stops_holds_nothing_up_and_gets_the_newest(pipe):
    reader, writer = pipe
    log = LogPipe(writer, kept=50)
    text = "x" * 1_000
    for number in range(1_000):
        log.emit(line(f"{number} {text}"))
    assert log.lost > 0
    assert len(log._waiting) <= 50
    while log._waiting:
        os.read(reader, 1_000_000)
        log._write()
    tail = os.read(reader, 1_000_000).decode().splitlines()
    assert tail[-1].startswith("999 ")


def test_lines_are_whole_after_a_half_written_one(pipe):
    reader, writer = pipe
    log = LogPipe(writer, kept=20)
    for number in range(200):
        log.emit(line(json.dumps({"n": number, "pad": "x" * 5_000})))
    text = b""
    while log._waiting:
        text += os.read(reader, 1_000_000)
        log._write()
    text += os.read(reader, 1_000_000)
    numbers = [json.loads(part)["n"] for part in text.splitlines()]
    assert numbers == sorted(numbers)
    assert numbers[-1] == 199
