import pytest

from medlar_node.status import flow_asked
from medlar_node.status import FlowAsked
from medlar_node.status import Unexplained

CALLER = "10.0.0.9:4711"
ADDRESS = "10.1.0.1:8080"


def test_both_ends_name_a_flow() -> None:
    query = {"caller": CALLER, "address": ADDRESS}
    assert flow_asked(query) == FlowAsked(CALLER, ADDRESS)


def test_no_end_names_no_flow() -> None:
    assert flow_asked({}) is None


@pytest.mark.parametrize("query", [{"caller": CALLER}, {"address": ADDRESS}])
def test_one_end_alone_is_told_what_is_missing(query: dict[str, str]) -> None:
    answer = flow_asked(query)
    assert isinstance(answer, Unexplained)
    assert "caller and address" in answer.error
