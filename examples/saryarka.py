"""Saryarka Code Works: a gift shop and a photo gallery, on loopback.

Print the configuration with ``python examples/saryarka.py``.
"""

from medlar_ops import deployment
from medlar_ops import emit
from medlar_ops import flows
from medlar_ops import kind
from medlar_ops import place
from medlar_ops import requests
from medlar_ops import service

PLACES = [
    place("almaty-a", region="almaty"),
    place("almaty-b", region="almaty"),
    place("almaty-c", region="almaty"),
]

GIFTSHOP = service(
    "giftshop",
    addresses=[flows("127.0.2.1:18000"), requests("127.0.2.1:18080")],
    places=PLACES,
    kinds=[
        kind("order", rank=0, floor=0.40, mean_s=0.12),
        kind("certificate", rank=1, floor=0.15, mean_s=0.25, idempotent=True),
        kind("page-view", rank=2, floor=0.15, mean_s=0.03, idempotent=True),
    ],
    slots=2,
    connections=2000,
)

GALLERY = service(
    "gallery",
    addresses=[requests("127.0.2.2:18080")],
    places=PLACES,
    kinds=[kind("photo-upload", rank=0, floor=0.50, mean_s=1.0)],
    slots=2,
    connections=2000,
)

if __name__ == "__main__":
    emit(deployment(places=PLACES, services=[GIFTSHOP, GALLERY]))
