"""Parameter sweep over the policy's constants, one at a time.

Prints the flood figures for the current value of each constant and for
a lower and a higher value.
"""

import defopt
import msgspec

from medlar_core.requests.policy import POLICY
from medlar_core.requests.policy import Policy

from .keep import FloodFigures
from .keep import measure_floods
from .policies import ours
from .workloads import WORKLOADS

FACTORS = (0.67, 1.5)
"""Lower and higher value of each constant, as factors of the current one."""
SWEPT = (
    "share_tau_s",
    "floor_margin",
    "queue_share",
    "queue_least_s",
    "long_share",
    "finish_means",
    "cede_share",
    "retry_share",
    "hedge_share",
    "door_slack",
    "door_tau_s",
    "load_fresh_s",
    "outlier_gain",
    "silence_s",
)


def variants(names: tuple[str, ...]) -> list[tuple[str, Policy]]:
    """Return the current policy and its variants, each with a label."""
    found = [("chosen", POLICY)]
    for name in names:
        for factor in FACTORS:
            value = round(getattr(POLICY, name) * factor, 4)
            policy = msgspec.structs.replace(POLICY, **{name: value})
            found.append((f"{name}={value}", policy))
    return found


def line(label: str, kept: list[FloodFigures]) -> str:
    """Return one line of the table: the worse figures of both workloads."""
    return (
        f"| {label} | {min(k.least for k in kept):.3f} "
        f"| {min(k.most for k in kept):.3f} "
        f"| {max(k.wait for k in kept):.2f} "
        f"| {min(k.used for k in kept):.3f} "
        f"| {max(k.recover_s for k in kept):.0f} |"
    )


def sweep(
    *, length: float = 15.0, seed: int = 1, names: list[str] | None = None
) -> None:
    """Print a table of the flood figures for each variant of the policy.

    :param length: length of each flood, in seconds.
    :param seed: seed of the runs.
    :param names: constants to sweep; all of them by default.
    """
    print("| value | least | most | wait | used | recover s |")
    print("|---|---|---|---|---|---|")
    for label, policy in variants(tuple(names or SWEPT)):
        kept = [
            measure_floods(load, ours(policy), length, seed)
            for load in WORKLOADS
        ]
        print(line(label, kept), flush=True)


if __name__ == "__main__":
    defopt.run(sweep)
