import pytest

from medlar_core.relay.configuration.routes import Routes
from medlar_core.relay.configuration.routes import ServiceLimits
from medlar_core.relay.configuration.scope_record import ScopeRecord
from medlar_core.relay.segment import endpoint
from medlar_core.relay.segment import FlowId
from medlar_core.relay.terms import DEFAULT_TERMS
from medlar_core.relay.terms import FlowTerms
from medlar_platform.config import read_routes

TEXT = """{"version":7,"routes":[
{"name":"r","host":"198.18.0.1","prefix":"/8443/","route_type":"idempotent",
"timeout_ms":2000,"target_latency_ms":143,"priority":2,"max_attempts":2,
"traffic_split":[{"service":"a","weight":90},{"service":"b","weight":10}]},
{"name":"q","host":"198.18.0.2","prefix":"/443/","route_type":"upload",
"timeout_ms":8000,"target_latency_ms":505,"priority":2,"service":"b",
"max_attempts":2}],"services":[{"name":"a","health_check_path":"/h"}],
"limits":{"idle_timeout_ms":15000},"new":{"field":1}}"""


def flow(caller: int, host: str, port: int) -> FlowId:
    return FlowId(endpoint("100.64.0.1", caller), endpoint(host, port))


def test_route_maps_address_and_port_to_service():
    routes = Routes()
    routes.apply(read_routes(TEXT))
    assert routes.version == 7
    assert routes.services(flow(1, "198.18.0.2", 443)) == ("b",)
    assert routes.services(flow(1, "198.18.0.2", 444)) == ()


def test_weights_split_flows_between_services():
    routes = Routes()
    routes.apply(read_routes(TEXT))
    chosen = [
        routes.services(flow(number, "198.18.0.1", 8443))[0]
        for number in range(2_000)
    ]
    assert 0.85 < chosen.count("a") / len(chosen) < 0.95


def test_idle_timeout_is_converted_to_seconds():
    assert read_routes(TEXT).idle_s == 15.0


def test_previous_service_of_address_is_kept():
    moved = TEXT.replace('"service":"b",\n', '"service":"a",\n')
    moved = moved.replace('"version":7', '"version":9')
    record = ScopeRecord()
    for text in (TEXT, moved):
        record = record.merged(read_routes(text))
    address = flow(1, "198.18.0.2", 443).address
    assert record.get(address) == ("a", "b")


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ('"version":7', '"version":"7"'),
        ('"/443/"', '"/x/"'),
        ('"198.18.0.2"', '"no.address"'),
        ("{", ""),
    ],
)
def test_invalid_configuration_is_rejected(old, new):
    with pytest.raises(ValueError):
        read_routes(TEXT.replace(old, new, 1))


def test_a_route_carries_the_terms_of_its_requests():
    routes = Routes()
    routes.apply(read_routes(TEXT))
    terms = routes.terms(flow(1, "198.18.0.1", 8443))
    assert terms == FlowTerms(2, 143, 2000, True)
    assert not routes.terms(flow(1, "198.18.0.2", 443)).is_idempotent
    assert routes.terms(flow(1, "198.18.0.9", 443)) == DEFAULT_TERMS


def test_limits_of_cold_servers_are_read_where_a_service_has_one():
    text = TEXT.replace('"/h"}', '"/h","cold_per_s":12.5},{"name":"b"}')
    assert read_routes(text).services == (ServiceLimits("a", 12.5),)
