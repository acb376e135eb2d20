"""Library for operators and the medlarctl command."""

from .library import deployment
from .library import DeploymentError
from .library import emit
from .library import flows
from .library import kind
from .library import place
from .library import requests
from .library import service

__all__ = [
    "DeploymentError",
    "deployment",
    "emit",
    "flows",
    "kind",
    "place",
    "requests",
    "service",
]
