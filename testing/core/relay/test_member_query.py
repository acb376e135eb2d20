"""Tests for the choice of a balancer to ask for members."""

from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.relay.member_query import MAX_QUERY_INTERVAL_S
from medlar_core.relay.member_query import MemberQuery
from medlar_core.relay.member_query import QUERY_INTERVAL_S
from medlar_core.relay.messages import Hello


def hello(number, service_size):
    node = NodeId(f"10.0.2.{number}:7000")
    return Hello(node, PlaceName("a"), 1, service_size=service_size)


def test_the_balancer_that_knows_most_members_is_asked():
    query = MemberQuery()
    query.record_hello(0.0, hello(1, 4))
    query.record_hello(0.0, hello(2, 5))
    query.record_hello(0.0, hello(3, 3))
    assert query.due(0.0, 3, is_confirmed=False) == hello(2, 5).id


def test_no_balancer_is_asked_once_all_members_are_known():
    query = MemberQuery()
    query.record_hello(0.0, hello(1, 4))
    assert query.due(0.0, 4, is_confirmed=True) is None


def test_a_balancer_that_has_not_counted_the_members_is_not_asked():
    query = MemberQuery()
    query.record_hello(0.0, hello(1, 0))
    assert query.due(0.0, 4, is_confirmed=False) is None


def test_a_balancer_that_counts_more_than_the_last_one_is_asked_at_once():
    query = MemberQuery()
    query.record_hello(0.0, hello(1, 4))
    assert query.due(0.0, 3, is_confirmed=False) == hello(1, 4).id
    query.record_hello(0.01, hello(2, 9))
    assert query.due(0.01, 4, is_confirmed=False) == hello(2, 9).id


def test_a_query_without_a_reply_is_repeated_after_an_interval():
    query = MemberQuery()
    query.record_hello(0.0, hello(1, 4))
    assert query.due(0.0, 3, is_confirmed=True)
    assert query.due(QUERY_INTERVAL_S / 2, 3, is_confirmed=True) is None
    assert query.due(QUERY_INTERVAL_S, 3, is_confirmed=True)


def test_a_balancer_that_counts_too_many_members_is_asked_ever_less_often():
    query = MemberQuery()
    query.record_hello(0.0, hello(1, 9))
    seconds = 10 * MAX_QUERY_INTERVAL_S
    asked = [
        query.due(step * 0.1, 3, is_confirmed=True)
        for step in range(int(seconds / 0.1))
    ]
    assert sum(node is not None for node in asked) <= 15
