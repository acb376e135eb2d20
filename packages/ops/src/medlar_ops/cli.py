"""Command line interface of medlarctl."""

from collections.abc import Callable
from collections.abc import Sequence
import sys
from typing import Any

import defopt

from medlar_core.timeline.events import Topic

from .accepted_versions import RequestRefused
from .accepted_versions import StoreNotAnswering
from .commands.apply import apply
from .commands.check import check
from .commands.diff import diff
from .commands.drain import drain
from .commands.show import show
from .commands.status import status
from .documents import DocumentError
from .output import Exit
from .output import warn
from .settings import UsageError
from .timeline_cli import About
from .timeline_cli import explain
from .timeline_cli import timeline

COMMANDS: tuple[Callable[..., Any], ...] = (
    check,
    diff,
    apply,
    show,
    status,
    drain,
    timeline,
    explain,
)


def _about(text: str) -> About:
    return About(text.lower())


def _topic(text: str) -> Topic:
    return Topic(text.lower())


PARSERS = {About: _about, Topic: _topic}
"""Parsers for enumerations, which accept values in any case."""


def run(args: Sequence[str]) -> int:
    """Run the command in the arguments and return its exit code."""
    try:
        code = defopt.run(
            list(COMMANDS),
            argv=list(args),
            parsers=PARSERS,
            no_negated_flags=True,
        )
        return int(code or Exit.OK)
    except UsageError as exc:
        warn(str(exc))
        return Exit.USAGE
    except (DocumentError, ValueError) as exc:
        warn(str(exc))
        return Exit.USAGE
    except RequestRefused as exc:
        warn(str(exc))
        return Exit.REFUSED
    except StoreNotAnswering as exc:
        warn(str(exc))
        return Exit.UNKNOWN
    except KeyboardInterrupt:
        warn("interrupted; run show to see whether a change was accepted")
        return Exit.UNKNOWN


def main() -> None:
    """Run medlarctl and exit with its code."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
