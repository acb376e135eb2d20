"""Steps on virtual time."""

from behave import given
from behave import then
from behave import when

from medlar_fakes.clock import Clock


@given("a clock")
def step_clock(context):
    context.clock = Clock()


@when("{seconds:d} seconds pass")
def step_pass(context, seconds):
    context.clock.run_until(context.clock.now + seconds)


@then("the time is {seconds:d} seconds")
def step_time(context, seconds):
    assert context.clock.now == seconds
