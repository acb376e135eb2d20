import pathlib
import re

import pytest

from medlar_node.metrics import Metrics

ROOT = pathlib.Path(__file__).parents[2]
DOCS = ROOT / "docs"


def named(pattern: str, path: pathlib.Path) -> set[str]:
    return set(re.findall(pattern, path.read_text()))


def test_metrics_page_lists_every_metric() -> None:
    families = Metrics().registry.collect()
    served = {
        f"{f.name}_total" if f.type == "counter" else f.name for f in families
    }
    page = DOCS / "reference" / "metrics.md"
    assert named(r"\| `(medlarstage_\w+)`", page) == served


def test_failure_table_names_scenarios_that_exist() -> None:
    scenarios = set()
    for path in (ROOT / "features").glob("*.feature"):
        scenarios |= named(r"Scenario: (.*)", path)
    rows = [
        line
        for line in (DOCS / "failures.md").read_text().splitlines()
        if line.startswith("| ") and "scenario |" not in line
    ]
    told = {
        name.strip()
        for row in rows
        for name in row.rstrip("| ").rsplit("|", 1)[1].split(";")
    }
    assert told
    assert told <= scenarios


def test_scenario_page_lists_every_sentence() -> None:
    page = (DOCS / "reference" / "scenarios.md").read_text()
    sentences = set()
    for path in (ROOT / "features" / "steps").glob("*.py"):
        source = re.sub(r'"\s*\n\s*"|\'\s*\n\s*"', "", path.read_text())
        sentences |= set(
            re.findall(r"@(?:given|when|then|step)\(['\"](.*)['\"]\)", source)
        )
    assert len(sentences) > 50
    missing = [s for s in sentences if not _shown(s, page)]
    assert missing == []


def _shown(sentence: str, page: str) -> bool:
    """Return whether a page shows the sentence with any values in it."""
    parts = re.split(r"\{[^}]*\}", sentence)
    return re.search(".+?".join(map(re.escape, parts)), page) is not None


@pytest.mark.parametrize("path", sorted(DOCS.rglob("*.md")), ids=str)
def test_links_of_pages_lead_to_files(path: pathlib.Path) -> None:
    links = named(r"\]\(([^)#:]+)\)", path)
    assert [x for x in links if not (path.parent / x).exists()] == []
