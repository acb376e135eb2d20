"""Names that peers, operators and stored data depend on stay in the code."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[1]
LIST = ROOT / "docs" / "reference" / "outer-names.txt"
FOLDERS = ("packages", "platform", "deploy", "examples")
LEFT_OUT = {"__pycache__", "build", "target"}


def names() -> list[str]:
    lines = (line.split("#")[0] for line in LIST.read_text().splitlines())
    return [line.strip() for line in lines if line.strip()]


def source() -> str:
    paths = (
        path
        for folder in FOLDERS
        for path in (ROOT / folder).rglob("*")
        if path.is_file()
        and path.suffix in ("", ".py", ".toml")
        and not LEFT_OUT & set(path.relative_to(ROOT).parts)
    )
    return "\n".join(path.read_text(errors="replace") for path in paths)


def test_every_outer_name_stands_in_the_code() -> None:
    text = source()
    gone = [
        name
        for name in names()
        if not re.search(rf"(?<!\w){re.escape(name)}(?!\w)", text)
    ]
    assert gone == []


def test_outer_names_are_listed_once() -> None:
    assert len(names()) > 600
    assert len(set(names())) == len(names())
