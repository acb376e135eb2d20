import json
import pathlib
import subprocess
import sys

import pytest

from medlar_bench.config.documents import document
from medlar_bench.config.racing import with_slots
from medlar_core.config.codec import encode
from medlar_ops.cli import COMMANDS
from medlar_ops.cli import run
from medlar_ops.output import Exit

from .conftest import LocalFleet

DOC = document(3)
EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
Capture = pytest.CaptureFixture[str]


@pytest.fixture
def path(tmp_path: pathlib.Path) -> str:
    return written(tmp_path, "first.json", encode(DOC))


def written(folder: pathlib.Path, name: str, text: str) -> str:
    (folder / name).write_text(text)
    return str(folder / name)


def changed(folder: pathlib.Path, service: int, slots: int) -> str:
    text = encode(with_slots(DOC, service, slots))
    return written(folder, f"{service}-{slots}.json", text)


def test_check_of_a_valid_document_exits_with_0(
    path: str, capsys: Capture
) -> None:
    assert run(["check", path]) == Exit.OK
    assert "good: 3 services at 3 addresses" in capsys.readouterr().out


def test_check_reports_the_field_of_a_problem(
    tmp_path: pathlib.Path, capsys: Capture
) -> None:
    bad = changed(tmp_path, 0, 0)
    assert run(["check", bad, "--json"]) == Exit.REFUSED
    output = json.loads(capsys.readouterr().out)
    assert output["problems"][0]["path"] == "services.service-00000.slots"


@pytest.mark.parametrize("name", ["authority", "saryarka"])
def test_examples_print_valid_documents(
    name: str, tmp_path: pathlib.Path
) -> None:
    args = [sys.executable, str(EXAMPLES / f"{name}.py")]
    found = subprocess.run(args, capture_output=True, text=True, check=True)
    assert run(["check", written(tmp_path, name, found.stdout)]) == Exit.OK


def test_refused_apply_changes_nothing(
    fleet: LocalFleet, tmp_path: pathlib.Path
) -> None:
    assert run(["apply", changed(tmp_path, 0, 0)]) == Exit.REFUSED
    assert fleet.store_fake.revision == 0


def test_show_prints_the_applied_document(
    fleet: LocalFleet, path: str, capsys: Capture
) -> None:
    assert run(["apply", path, "--change", "c1"]) == Exit.OK
    assert "accepted as version 1" in capsys.readouterr().out
    assert run(["show"]) == Exit.OK
    assert json.loads(capsys.readouterr().out) == json.loads(encode(DOC))
    assert run(["apply", path, "--change", "c1"]) == Exit.OK
    assert "accepted before as version 1" in capsys.readouterr().out


def test_second_document_needs_a_base(
    fleet: LocalFleet, path: str, tmp_path: pathlib.Path, capsys: Capture
) -> None:
    run(["apply", path])
    second = changed(tmp_path, 0, 9)
    assert run(["apply", second]) == Exit.USAGE
    assert "the newest is 1" in capsys.readouterr().err
    assert run(["apply", second, "--base", "1"]) == Exit.OK


def test_conflict_report_has_field_and_operator(
    fleet: LocalFleet, path: str, tmp_path: pathlib.Path, capsys: Capture
) -> None:
    run(["apply", path])
    first, second = changed(tmp_path, 0, 8), changed(tmp_path, 0, 9)
    run(["apply", first, "--base", "1", "--by", "aster"])
    assert run(["apply", second, "--base", "1"]) == Exit.REFUSED
    out = capsys.readouterr().out
    assert "services.service-00000.slots  9      8       aster   2" in out


def test_diff_reports_fields_and_base_version(
    fleet: LocalFleet, path: str, tmp_path: pathlib.Path, capsys: Capture
) -> None:
    run(["apply", path])
    capsys.readouterr()
    assert run(["diff", changed(tmp_path, 1, 99), "--json"]) == Exit.OK
    output = json.loads(capsys.readouterr().out)
    assert output["version"] == 1
    (found,) = output["differences"]
    assert found["field"] == "services.service-00001.slots"
    assert found["then"] == "99"


def test_apply_during_store_outage_exits_with_3_and_a_retry_hint(
    fleet: LocalFleet, path: str, capsys: Capture
) -> None:
    fleet.store_fake.down = True
    args = ["apply", path, "--change", "c1", "--base", "0", "--limit-s", "0.3"]
    assert run(args) == Exit.UNKNOWN
    assert "--change c1 --base 0" in capsys.readouterr().err
    assert run(["show"]) == Exit.UNKNOWN


def test_show_of_an_unknown_change_exits_with_1(
    fleet: LocalFleet, path: str, capsys: Capture
) -> None:
    run(["apply", path, "--change", "c1", "--by", "aster"])
    assert run(["show", "--change", "c1"]) == Exit.OK
    assert "aster" in capsys.readouterr().out
    assert run(["show", "--change", "c2"]) == Exit.REFUSED
    assert "versions 1 to 1" in capsys.readouterr().err


def test_damaged_store_is_reported_without_traceback(
    fleet: LocalFleet, path: str, capsys: Capture
) -> None:
    run(["apply", path])
    for key in list(fleet.store_fake.items):
        if key.startswith("config/shard/"):
            del fleet.store_fake.items[key]
    assert run(["show"]) == Exit.REFUSED
    assert "got nothing; expected a value" in capsys.readouterr().err


def test_apply_notifies_processes_and_waits_for_them(
    fleet: LocalFleet, path: str, capsys: Capture
) -> None:
    fleet.version = 1
    args = ["apply", path, "--nodes", fleet.node, "--confirm-s", "0.1"]
    assert run(args) == Exit.OK
    output = capsys.readouterr().out
    # The process reports version 1, which the store does not have.
    assert "accepted as version 2" in output
    assert "in force on 0 of 1 processes; 1 of those asked did not" in output


def test_apply_does_not_wait_for_a_process_that_left(
    fleet: LocalFleet, path: str, capsys: Capture
) -> None:
    assert run(["apply", path, "--base", "0"]) == Exit.OK
    args = ["apply", path, "--base", "1", "--nodes", fleet.node, "--json"]
    fleet.version = 1
    assert run([*args, "--confirm-s", "600"]) == Exit.OK
    output = json.loads(capsys.readouterr().out.split("\n", 1)[1])
    assert output["in_force"] == {"count": 1, "answered": 1, "asked": 2}


def test_status_lists_processes_that_do_not_respond(
    fleet: LocalFleet, capsys: Capture
) -> None:
    assert run(["status", "--nodes", fleet.node]) == Exit.UNKNOWN
    out = capsys.readouterr().out
    assert f"{fleet.node}  agent  almaty-a" in out
    assert "no answer: 127.0.0.1:1" in out


def test_drain_is_sealed(fleet: LocalFleet, capsys: Capture) -> None:
    args = ["drain", fleet.node, "--limit-s", "5"]
    assert run(args) == Exit.OK
    assert fleet.drained == [5.0]
    assert run([*args, "--keys", "ab" * 16]) == Exit.REFUSED
    assert "unknown-key" in capsys.readouterr().err
    assert fleet.drained == [5.0]


@pytest.mark.parametrize(
    ("args", "output"),
    [
        (["diff", "x.json", "--store", "nope"], "--store (or MEDLARSTAGE_ST"),
        (["status"], "--nodes (or MEDLARSTAGE_NODES): got nothing"),
        (["status", "--nodes", "1.2.3:4"], "got '1.2.3:4', expected ip:port"),
        (["check", "missing.json"], "missing.json: No such file"),
        (["drain", "x", "--limit-s", "5"], "agent: got 'x', expected ip:port"),
        (["drain", "127.0.0.1:9", "--limit-s", "-1"], "--limit-s: got '-1.0'"),
        (
            ["drain", "127.0.0.1:9", "--limit-s", "1", "--keys", "zz"],
            "got 'text that is not hexadecimal'",
        ),
        (
            ["apply", "x", "--store", "127.0.0.1:9", "--by", "a b"],
            "--by: got 'a b'",
        ),
    ],
)
def test_invalid_argument_exits_with_2(
    args: list[str],
    output: str,
    capsys: Capture,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for name in ("STORE", "NODES", "KEYS", "KEY_FILE"):
        monkeypatch.delenv(f"MEDLARSTAGE_{name}", raising=False)
    assert run(args) == Exit.USAGE
    assert output in capsys.readouterr().err


@pytest.mark.parametrize("command", [c.__name__ for c in COMMANDS])
def test_each_command_has_help(command: str, capsys: Capture) -> None:
    with pytest.raises(SystemExit) as end:
        run([command, "--help"])
    assert end.value.code == 0
    assert "--json" in capsys.readouterr().out or command == "explain"


@pytest.mark.parametrize(
    "args",
    [
        ["timeline", "--topic", "drain"],
        ["explain", "version"],
        ["explain", "VERSION"],
        ["explain", "server", "127.0.0.1:1"],
        ["explain", "flow", "127.0.0.1:2", "127.0.0.1:3"],
    ],
)
def test_topics_and_subjects_are_case_insensitive(
    args: list[str], capsys: Capture
) -> None:
    try:
        code = run([*args, "--nodes", "127.0.0.1:1"])
    except SystemExit as end:
        code = int(str(end.code))
    assert code != Exit.USAGE
    assert "no answer: 127.0.0.1:1" in capsys.readouterr().err


def test_check_ends_with_4_if_a_valid_document_has_warnings(
    tmp_path: pathlib.Path, capsys: Capture
) -> None:
    doc = json.loads(encode(DOC))
    doc["places"].append({"name": "empty", "region": "r"})
    unused = written(tmp_path, "unused.json", json.dumps(doc))
    assert run(["check", unused, "--json"]) == Exit.WARNED
    output = json.loads(capsys.readouterr().out)
    assert output["ok"]
    assert "without a service" in output["warnings"][0]["got"]


def test_check_tells_what_differs_from_the_version_in_force(
    fleet: LocalFleet, path: str, tmp_path: pathlib.Path, capsys: Capture
) -> None:
    run(["apply", path])
    capsys.readouterr()
    second = changed(tmp_path, 1, 99)
    assert run(["check", second, "--against-store", "--json"]) == Exit.OK
    output = json.loads(capsys.readouterr().out)
    (found,) = output["in_force"]["differences"]
    assert found["field"] == "services.service-00001.slots"
