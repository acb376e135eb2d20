"""Steps that advance time, change the fleet, inject faults or send work."""

from behave import step
from behave import when

DETECT_S = 3.0
"""Silence after which peers consider a server dead."""
SHARES = {
    "slot-confirmation": 0.3,
    "berth-query": 0.5,
    "shift-report": 0.2,
}
"""Share of each kind in the normal load of berth-desk."""


@when("{seconds:g} seconds pass")
def step_pass(context, seconds):
    context.fleet.world.run(seconds)


# Planned changes


@when('server {number:d} of "{service}" is drained')
def step_drain(context, number, service):
    context.fleet.drain(context.fleet.server(service, number))


@when('server {number:d} of "{service}" is asked to stop')
def step_stop_server(context, number, service):
    context.fleet.stop(context.fleet.server(service, number))


@when("balancer {number:d} is asked to stop")
def step_stop_balancer(context, number):
    context.fleet.stop(context.fleet.balancer(number))


@when('each server of "{service}" is replaced, {seconds:g} seconds apart')
def step_replace_servers(context, service, seconds):
    for found in context.fleet.world.live(service):
        context.fleet.replace(found, seconds)


@when("each balancer is replaced, {seconds:g} seconds apart")
def step_replace_balancers(context, seconds):
    for found in context.fleet.world.live(None):
        context.fleet.replace(found, seconds)


@when('{count:d} servers of "{service}" join')
def step_join(context, count, service):
    for n in range(count):
        place = context.fleet.places[n % len(context.fleet.places)]
        context.fleet.world.start_server(service, place)


@when("{count:d} balancers join")
def step_balancers_join(context, count):
    context.fleet.add_balancers(count)


# Faults


@when('server {number:d} of "{service}" is killed')
def step_kill_server(context, number, service):
    context.fleet.kill(context.fleet.server(service, number))


@when("balancer {number:d} is killed")
def step_kill_balancer(context, number):
    context.fleet.kill(context.fleet.balancer(number))


@when("each balancer is killed and replaced, {seconds:g} seconds apart")
def step_kill_balancers(context, seconds):
    for found in context.fleet.world.live(None):
        context.fleet.kill(found)
        context.fleet.world.start_balancer(found.place)
        context.fleet.world.run(seconds)


@when('the agent of server {number:d} of "{service}" restarts')
def step_restart_agent(context, number, service):
    found = context.fleet.server(service, number)
    context.fleet.world.restart_agent(found.node)


@when("every balancer is killed and starts anew")
def step_replace_all(context):
    for found in context.fleet.world.live(None):
        context.fleet.kill(found)
        context.fleet.world.start_balancer(found.place, found.node)


@when('server {number:d} of "{service}" is paused for {seconds:g} seconds')
def step_pause_server(context, number, service, seconds):
    found = context.fleet.server(service, number)
    context.fleet.pause(found, seconds)
    if seconds > DETECT_S:
        # Peers cannot distinguish a long pause from a crash.
        context.fleet.died.append(found)


@when("balancer {number:d} is paused for {seconds:g} seconds")
def step_pause_balancer(context, number, seconds):
    context.fleet.pause(context.fleet.balancer(number), seconds)


@when("the place {name} is lost")
def step_lose_place(context, name):
    context.fleet.lose_place(name)


@when("the places {one} and {other} are cut apart")
def step_cut(context, one, other):
    context.fleet.world.cut(one, other)


@when("the cut heals")
def step_heal(context):
    context.fleet.world.heal()


@when("the store goes down")
def step_store_down(context):
    context.fleet.world.store.down = True


@when("the store comes back")
def step_store_back(context):
    context.fleet.world.store.down = False
    context.fleet.world.store.slow_s = 0.002


@when("the store answers after {seconds:g} seconds")
def step_store_slow(context, seconds):
    context.fleet.world.store.slow_s = seconds


@when("the store loses {percent:g}% of its answers")
def step_store_lossy(context, percent):
    context.fleet.world.store.lose_answers = percent / 100


@when("the net loses {percent:g}% of messages and doubles {double:g}%")
def step_net(context, percent, double):
    context.fleet.world.net.faults.loss = percent / 100
    context.fleet.world.net.faults.duplicate = double / 100


@when("updates arrive up to {seconds:g} seconds late")
def step_late_updates(context, seconds):
    context.fleet.world.delay_updates(seconds)


@when("messages arrive up to {seconds:g} seconds late")
def step_late(context, seconds):
    context.fleet.world.net.faults.jitter_s = seconds


# Work


@step('the usual work of "{service}" for {seconds:g} seconds')
def step_usual(context, service, seconds):
    for kind, share in SHARES.items():
        rate = context.fleet.usual_rate(service, kind, share)
        context.fleet.offer(service, kind, rate, seconds)


@when(
    'callers send {rate:g} "{kind}" a second to "{service}" '
    "for {seconds:g} seconds"
)
def step_offer(context, rate, kind, service, seconds):
    context.fleet.offer(service, kind, rate, seconds)


@when('{count:d} feeds are opened to "{service}"')
def step_open_feeds(context, count, service):
    context.fleet.open_feeds(service, count)


@when(
    '"{kind}" comes at {times:g} times its usual rate to "{service}" '
    "for {seconds:g} seconds"
)
def step_flood(context, kind, times, service, seconds):
    usual = context.fleet.usual_rate(service, kind, SHARES[kind])
    context.fleet.offer(service, kind, (times - 1) * usual, seconds)


# Operators


@when('the operator declares "{name}" on {servers:d} servers')
def step_declare(context, name, servers):
    context.fleet.add_service(name, servers)


@when("the operator applies the configuration")
def step_apply(context):
    context.applied = context.fleet.apply()


@when("the operator applies another drain limit")
def step_limit(context):
    context.fleet.change_drain_limit("berth-desk", 1800.0)
    context.applied = context.fleet.apply()
    context.fleet.world.run(0.5)


@when('the operator moves the address of "{one}" to "{other}"')
def step_move(context, one, other):
    context.fleet.move_address(one, other)
    context.applied = context.fleet.apply()


@when("{count:d} operators apply different drain limits at once")
def step_race(context, count):
    context.fleet.race("berth-desk", count)
