"""Steps that set up the fleet."""

from behave import given

from medlar_core.config.model import Kind
from medlar_core.ids import KindName

PLACES = ("adama-landing", "metehara-landing", "awash-sebat")


@given("the Authority's fleet")
def step_authority(context):
    context.fleet.add_places(PLACES)
    context.fleet.add_balancers(3)
    context.fleet.add_service("berth-desk", 7, BERTH_DESK)
    context.fleet.add_service("manifest-office", 3, MANIFEST_OFFICE)
    context.fleet.become_ready()


@given("the places {names}")
def step_places(context, names):
    context.fleet.add_places(names.replace(" and ", ", ").split(", "))


@given("{count:d} balancers")
def step_balancers(context, count):
    context.fleet.add_balancers(count)


@given('the service "{name}" on {servers:d} servers')
def step_service(context, name, servers):
    context.fleet.add_service(name, servers)


@given('the service "{name}" on {servers:d} servers with the kinds')
def step_service_with_kinds(context, name, servers):
    kinds = [
        kind(
            row["kind"],
            int(row["rank"]),
            float(row["share"]),
            row["idempotent"] == "yes",
            float(row["takes"]),
        )
        for row in context.table
    ]
    context.fleet.add_service(name, servers, kinds)


@given("the fleet is ready")
def step_ready(context):
    context.fleet.become_ready()


@given('{count:d} open feeds to "{service}"')
def step_feeds(context, count, service):
    context.fleet.open_feeds(service, count)
    context.fleet.world.run(10.0)


def kind(name, rank, floor, idempotent, mean_s):
    return Kind(
        name=KindName(name),
        rank=rank,
        floor=floor,
        idempotent=idempotent,
        mean_s=mean_s,
        deadline_s=10 * mean_s,
    )


BERTH_DESK = (
    kind("slot-confirmation", 0, 0.4, False, 0.08),
    kind("berth-query", 1, 0.25, True, 0.04),
    kind("shift-report", 2, 0.1, True, 0.4),
)
MANIFEST_OFFICE = (kind("manifest", 0, 0.5, False, 0.8),)
