import pytest

from medlar_core.config.codec import decode
from medlar_core.config.codec import encode
from medlar_ops import deployment
from medlar_ops import DeploymentError
from medlar_ops import flows
from medlar_ops import kind
from medlar_ops import place
from medlar_ops import requests
from medlar_ops import service

A = place("almaty-a", region="almaty")
ORDER = kind("order", rank=0, floor=0.4, mean_s=0.12)


def test_deployment_round_trips_through_its_document() -> None:
    shop = service(
        "giftshop",
        addresses=[flows("10.0.0.1:9000"), requests("10.0.0.1:80")],
        places=[A],
        kinds=[ORDER],
    )
    cfg = deployment(places=[A], services=[shop])
    assert decode(encode(cfg)) == cfg


def test_kind_defaults_to_not_idempotent() -> None:
    assert not ORDER.idempotent
    assert ORDER.deadline_s == pytest.approx(1.2)


def test_invalid_deployment_reports_its_fields() -> None:
    shop = service("giftshop", addresses=[], places=[A], kinds=[ORDER, ORDER])
    with pytest.raises(DeploymentError) as exc_info:
        deployment(places=[], services=[shop])
    paths = {problem.path for problem in exc_info.value.problems}
    assert "services.giftshop.addresses" in paths
    assert "services.giftshop.kinds" in paths
    assert "services.giftshop.places[0]" in paths


@pytest.mark.parametrize("text", ["10.0.0.1", ":80", "10.0.0.1:http", ""])
def test_invalid_endpoint_is_rejected(text: str) -> None:
    with pytest.raises(ValueError, match="expected ip:port"):
        requests(text)
