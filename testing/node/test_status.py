import pytest

from medlar_node.status import ExplainRefusal
from medlar_node.status import FlowQuery
from medlar_node.status import parse_flow_query

CALLER = "10.0.0.9:4711"
ADDRESS = "10.1.0.1:8080"


def test_query_with_both_ends_has_flow() -> None:
    query = {"caller": CALLER, "address": ADDRESS}
    assert parse_flow_query(query) == FlowQuery(CALLER, ADDRESS)


def test_empty_query_has_no_flow() -> None:
    assert parse_flow_query({}) is None


@pytest.mark.parametrize("query", [{"caller": CALLER}, {"address": ADDRESS}])
def test_query_with_one_end_is_refused(query: dict[str, str]) -> None:
    error = parse_flow_query(query)
    assert isinstance(error, ExplainRefusal)
    assert "caller and address" in error.error
