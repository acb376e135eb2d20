"""The Awash Valley Municipal Coal Haulage Authority, on loopback.

Print the configuration with ``python examples/authority.py``.
"""

from medlar_ops import deployment
from medlar_ops import emit
from medlar_ops import flows
from medlar_ops import kind
from medlar_ops import place
from medlar_ops import requests
from medlar_ops import service

PLACES = [
    place("adama-landing", region="awash"),
    place("metehara-landing", region="awash"),
    place("awash-sebat", region="awash"),
]

BERTH_DESK = service(
    "berth-desk",
    addresses=[flows("127.0.1.1:18000"), requests("127.0.1.1:18080")],
    places=PLACES,
    kinds=[
        kind("slot-confirmation", rank=0, floor=0.40, mean_s=0.08),
        kind("berth-query", rank=1, floor=0.25, mean_s=0.04, idempotent=True),
        kind("shift-report", rank=2, floor=0.10, mean_s=0.4, idempotent=True),
    ],
    slots=2,
    connections=2000,
)

MANIFEST_OFFICE = service(
    "manifest-office",
    addresses=[requests("127.0.1.2:18080")],
    places=PLACES,
    kinds=[kind("manifest", rank=0, floor=0.50, mean_s=0.8)],
    slots=2,
    connections=2000,
)

if __name__ == "__main__":
    emit(deployment(places=PLACES, services=[BERTH_DESK, MANIFEST_OFFICE]))
