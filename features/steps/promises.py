"""Steps that check the system's guarantees."""

from behave import then

from medlar_bench.world import promises
from medlar_core.config.outcome import Accepted
from medlar_core.timeline.events import Topic
from medlar_core.timeline.explain import Confidence
from medlar_core.timeline.explain import explain
from medlar_core.timeline.explain import ServerQuestion
from medlar_core.timeline.query import MergedTimeline

SHOWN = 5


def assert_none(context, found):
    shown = "; ".join(found[:SHOWN])
    assert not found, f"{len(found)}: {shown} (seed {context.fleet.seed})"


@then("every feed is open")
def step_open(context):
    assert context.fleet.world.feeds.feeds
    assert_none(context, promises.unanswered_feeds(context.fleet.world))


@then("no feed broke")
def step_no_feed(context):
    step_open(context)
    assert_none(context, promises.broken_feeds(context.fleet.world))


@then("only feeds of dead servers broke")
def step_only_dead(context):
    fleet = context.fleet
    assert_none(context, promises.broken_feeds(fleet.world, fleet.died))


@then("no packet reached another service")
def step_foreign(context):
    assert_none(context, promises.misrouted_packets(context.fleet.world))


@then("leaving servers got no new work after 3 seconds")
def step_leaving(context):
    assert context.fleet.left
    assert_none(context, promises.new_work_on_draining(context.fleet.world))


@then("every request has an answer or a verdict")
def step_answered(context):
    assert context.fleet.world.work.asked
    assert_none(context, promises.unanswered(context.fleet.world))


@then("no request that must run once ran twice")
def step_doubled(context):
    assert_none(context, promises.doubled(context.fleet.world))


@then('every "not run" is true')
def step_not_run(context):
    assert_none(context, promises.false_not_run(context.fleet.world))


@then("every answer is whole and its own")
def step_whole(context):
    assert_none(context, promises.mismatched_answers(context.fleet.world))


@then("the planned stops cut no request")
def step_cut(context):
    assert context.fleet.left
    assert_none(context, promises.interrupted_requests(context.fleet.world))


@then("the requests kept their promises")
def step_requests(context):
    step_answered(context)
    step_doubled(context)
    step_not_run(context)
    step_whole(context)


@then('at least {percent:g}% of "{kind}" were answered in time')
def step_share(context, percent, kind):
    asked = [
        a
        for a in context.fleet.world.work.asked.values()
        if a.kind.name == kind
    ]
    assert asked
    share = 100 * promises.ran_share(asked)
    assert share >= percent, f"{share:.1f}% (seed {context.fleet.seed})"


@then("no process went back to an older version")
def step_reverted(context):
    assert_none(context, promises.reverted(context.fleet.world))


@then("every accepted version was in force everywhere within 10 seconds")
def step_everywhere(context):
    assert any(a.version for a in context.fleet.world.operators.applied)
    assert_none(context, promises.late_versions(context.fleet.world))


@then("the operator heard that the change is accepted")
def step_accepted(context):
    outcome = context.applied.outcome
    assert isinstance(outcome, Accepted), f"expected Accepted, got {outcome}"


@then("each operator heard the truth")
def step_truth(context):
    assert_none(context, promises.false_outcomes(context.fleet.world))


@then("no live server was taken out")
def step_taken_out(context):
    assert_none(context, promises.serving_servers_removed(context.fleet.world))


@then("no balancer shows a dead server")
def step_dead_shown(context):
    assert_none(context, promises.dead_servers_in_views(context.fleet.world))


@then("every live process has the newest version")
def step_newest(context):
    assert_none(context, promises.outdated_processes(context.fleet.world))


@then("the time line tells why each dead server is out")
def step_why_out(context):
    fleet = context.fleet
    gathered = MergedTimeline(fleet.world.timeline())
    dead = [found.node for found in fleet.died if found.service]
    assert dead
    for node in dead:
        others = [e for e in gathered.events if e.node != node]
        answer = explain(ServerQuestion(node), MergedTimeline(tuple(others)))
        assert answer.sure is Confidence.FOUND, answer.sentence


@then('the time line tells of "{topic}" with "{words}"')
def step_timeline(context, topic, words):
    events = [
        item.event.text
        for item in context.fleet.world.timeline()
        if item.event.topic is Topic(topic)
    ]
    assert any(words in text for text in events), (
        f"got events {events[-SHOWN:]}"
    )
