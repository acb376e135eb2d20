"""Entries of a valid configuration that have no effect or contradict."""

from collections.abc import Iterator

from .check import FLOOR_TOLERANCE
from .model import Configuration
from .model import Kind
from .model import Protocol
from .model import Service
from .problem import Problem


def find_warnings(cfg: Configuration) -> tuple[Problem, ...]:
    """Return what operators probably did not intend; none if nothing.

    The configuration has passed :func:`medlar_core.config.check.check`.
    """
    return tuple(_warnings(cfg))


def _warnings(cfg: Configuration) -> Iterator[Problem]:
    used = {place for service in cfg.services for place in service.places}
    for i, place in enumerate(cfg.places):
        if place.name not in used:
            yield Problem(
                f"places[{i}]",
                f"{place.name!r} without a service",
                "a place of at least one service",
                "add it to a service, or remove it",
            )
    for service in cfg.services:
        yield from _unmatched_kinds(service)
        yield from _limits(service)


def _unmatched_kinds(service: Service) -> Iterator[Problem]:
    path = f"services.{service.name}"
    protocols = {address.protocol for address in service.addresses}
    if service.kinds and Protocol.REQUEST not in protocols:
        yield Problem(
            f"{path}.kinds",
            f"{len(service.kinds)} kinds, and addresses of flows only",
            "an address of requests",
            "kinds apply to requests; none can match",
        )
    for kind in service.kinds:
        if kind.max_body_bytes == 0 and not kind.idempotent:
            yield Problem(
                f"{path}.kinds.{kind.name}.max_body_bytes",
                "0",
                "at least 1 for a kind that is not idempotent",
                "a request with a body would be refused",
            )


def _limits(service: Service) -> Iterator[Problem]:
    path = f"services.{service.name}"
    if service.connections < service.slots:
        yield Problem(
            f"{path}.connections",
            str(service.connections),
            f"at least slots, {service.slots}",
            "some slots could never be used",
        )
    yield from _floors(path, service.kinds)
    longest_s = max((kind.deadline_s for kind in service.kinds), default=0.0)
    if service.drain_limit_s < longest_s:
        yield Problem(
            f"{path}.drain_limit_s",
            f"{service.drain_limit_s:g}",
            f"at least the longest deadline_s, {longest_s:g}",
            "a drain would end requests that may still be answered",
        )


def _floors(path: str, kinds: tuple[Kind, ...]) -> Iterator[Problem]:
    total = sum(kind.floor for kind in kinds)
    if total < 1 - FLOOR_TOLERANCE:
        return
    for kind in kinds:
        if not kind.floor:
            yield Problem(
                f"{path}.kinds.{kind.name}.floor",
                "0 beside floors that sum up to 1",
                "more than 0, or lower floors of the others",
                "in a flood no slot would be left for it",
            )
