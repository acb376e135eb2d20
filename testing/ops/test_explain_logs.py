import json

import pytest

from medlar_ops.cli import run
from medlar_ops.explain_logs import read
from medlar_ops.explain_logs import trace

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


def test_trace_is_ordered_and_names_server_hops_and_end(logs):
    flow_trace = trace(FLOW, read(logs))
    assert [entry.asctime[-6:] for entry in flow_trace.lines] == [
        "10,050",
        "10,100",
        "12,000",
    ]
    assert flow_trace.sentence == (
        f"flow {FLOW}: opened at side-1, by way of front-1, side-1; "
        "reset by side-1, reason server-died"
    )
    assert flow_trace.unreadable == 1


def test_trace_has_only_state_changes_before_the_end(logs):
    flow_trace = trace(FLOW, read(logs))
    assert [entry.message for entry in flow_trace.state_changes] == [
        "process: members: server is ready"
    ]


def test_flow_without_log_lines_is_reported_unknown(logs):
    flow_trace = trace("x>y", read(logs))
    assert "no log line mentions it" in flow_trace.sentence


def test_command_explains_a_flow_from_logs_only(logs, capsys):
    caller, _, address = FLOW.partition(">")
    args = ["explain", "flow", caller, address, "--from-logs"]
    with pytest.raises(SystemExit) as exit_info:
        run([*args, *map(str, logs)])
    assert exit_info.value.code == 0
    assert "reset by side-1" in capsys.readouterr().out


def test_unreadable_file_is_reported(tmp_path, capsys):
    args = ["explain", "flow", "1.1.1.1:1", "2.2.2.2:2", "--from-logs"]
    assert run([*args, str(tmp_path / "none")]) != 0
    assert "none" in capsys.readouterr().err
