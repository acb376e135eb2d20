import json

import pytest

from medlar_ops.cli import run
from medlar_ops.log_story import read
from medlar_ops.log_story import tell

FLOW = "100.64.0.7:1050>198.18.0.1:8443"


def line(at: str, node: str, message: str, **fields) -> str:
    return json.dumps(
        {
            "asctime": f"2026-01-01 00:00:{at}",
            "levelname": "INFO",
            "message": f"process: {message}",
            "node": node,
            **fields,
        }
    )


LINES = [
    line("09,500", "side-1", "members: server is ready", topic="membership"),
    "  10.1 side-1 "
    + line("10,100", "side-1", "flows: opened with 1 busy", flow=FLOW),
    line("10,050", "front-1", "flows: new, asked its owner", flow=FLOW),
    line(
        "12,000",
        "side-1",
        "flows: reset",
        flow=FLOW,
        reason="server-died",
        version=7,
    ),
    line("10,070", "front-2", "flows: opened", flow="1.1.1.1:1>2.2.2.2:2"),
    "a line of another program",
    line("13,000", "side-1", "members: server is down", topic="membership"),
]


@pytest.fixture
def logs(tmp_path):
    paths = [tmp_path / "a.log", tmp_path / "b.log"]
    paths[0].write_text("\n".join(LINES[:3]))
    paths[1].write_text("\n".join(LINES[3:]))
    return paths


def test_the_story_is_in_order_and_names_server_hops_and_end(logs):
    story = tell(FLOW, read(logs))
    assert [found.asctime[-6:] for found in story.lines] == [
        "10,050",
        "10,100",
        "12,000",
    ]
    assert story.sentence == (
        f"flow {FLOW}: opened at side-1, by way of front-1, side-1; "
        "reset by side-1, reason server-died"
    )
    assert story.unreadable == 1


def test_beliefs_before_the_end_are_shown_and_later_ones_are_not(logs):
    story = tell(FLOW, read(logs))
    assert [found.message for found in story.beliefs] == [
        "process: members: server is ready"
    ]


def test_a_flow_that_no_line_names_is_said_to_be_unknown(logs):
    story = tell("x>y", read(logs))
    assert "no line tells of it" in story.sentence


def test_the_command_explains_from_logs_alone(logs, capsys):
    caller, _, address = FLOW.partition(">")
    words = ["explain", "flow", caller, address, "--from-logs"]
    with pytest.raises(SystemExit) as ended:
        run([*words, *map(str, logs)])
    assert ended.value.code == 0
    assert "reset by side-1" in capsys.readouterr().out


def test_a_file_that_cannot_be_read_is_a_clear_error(tmp_path, capsys):
    words = ["explain", "flow", "1.1.1.1:1", "2.2.2.2:2", "--from-logs"]
    assert run([*words, str(tmp_path / "none")]) != 0
    assert "none" in capsys.readouterr().err
