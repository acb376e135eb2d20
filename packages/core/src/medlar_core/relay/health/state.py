"""Health of a server as its agent judges it by its flows."""

import enum


class HealthState(enum.Enum):
    """Whether a server that announces itself may get new flows.

    The values are numbers, as each report carries one.
    """

    HEALTHY = 0
    SUSPECT = 1
    """Its flows fail; it gets few new ones."""
    PROBATION = 2
    """It was suspect or down; its share of flows grows as they succeed."""
