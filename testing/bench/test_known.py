import pathlib

import pytest

from medlar_bench import known


def test_comments_and_entries_are_told_apart(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text("# a comment\n\na.row | make bench, seed 1 | 3 | 7\n")
    assert known.read(path) == (
        known.KnownRed("a.row", "make bench, seed 1", "3", "7"),
    )


def test_line_with_a_missing_field_is_refused(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text("a.row | make bench\n")
    with pytest.raises(ValueError, match="expected name"):
        known.read(path)
