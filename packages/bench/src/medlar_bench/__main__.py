"""Run the benchmark from the command line."""

import defopt


def bench(*, rows: str = "", fast: bool = False) -> None:
    """Measure the rows of the benchmark.

    :param rows: measure only rows whose name starts so.
    :param fast: small sizes, and only counts in virtual time.
    """


if __name__ == "__main__":
    defopt.run(bench)
