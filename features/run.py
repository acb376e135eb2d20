"""Runs the scenarios, each file in its own process, and checks results.

Scenarios listed in KNOWN-RED.txt are run and printed as known red; they
fail nothing. Any other scenario that does not pass fails the run.
"""

from concurrent import futures
import contextlib
import io
import multiprocessing
import os
import pathlib
import sys

from behave.__main__ import run_behave
from behave.configuration import Configuration
from behave.runner import Runner

from medlar_bench import known

FOLDER = pathlib.Path(__file__).parent
OUTPUT = pathlib.Path("build/features")
MAX_JOBS = 4


def run_file(path):
    """Run one file; return its output and (name, passed) of scenarios."""
    runners = []

    class RecordingRunner(Runner):
        def __init__(self, config):
            super().__init__(config)
            runners.append(self)

    OUTPUT.mkdir(parents=True, exist_ok=True)
    steps = OUTPUT / f"{path.stem}.txt"
    args = ["--no-capture", "--no-summary", "-f", "progress3", "-o"]
    config = Configuration([*args, str(steps), *sys.argv[1:], str(path)])
    behave_output = io.StringIO()
    with contextlib.redirect_stdout(behave_output):
        run_behave(config, runner_class=RecordingRunner)
    results = [
        (scenario.name, scenario.status.name == "passed")
        for feature in runners[0].features
        for scenario in feature.walk_scenarios()
    ]
    return steps.read_text() + behave_output.getvalue(), results


def main():
    paths = sorted(FOLDER.glob("*.feature"))
    jobs = min(MAX_JOBS, os.cpu_count() or 1)
    context = multiprocessing.get_context("spawn")
    with futures.ProcessPoolExecutor(jobs, mp_context=context) as pool:
        file_results = list(pool.map(run_file, paths))
    results = [result for _, found in file_results for result in found]
    for output, found in file_results:
        if not found or not all(passed for _, passed in found):
            print(output)
    sys.exit(exit_status(results))


def exit_status(results):
    """Print the result and return the exit status."""
    listed = {entry.name: entry for entry in known.read()}
    failed = [name for name, passed in results if not passed]
    red = [name for name in failed if name in listed]
    for name in red:
        print(f"known red: {name}: {listed[name].seen}")
    for name, passed in results:
        if passed and name in listed:
            print(f"passes again, take it off KNOWN-RED.txt: {name}")
    for name in failed:
        if name not in listed:
            print(f"failed: {name}")
    passed = len(results) - len(failed)
    print(
        f"scenarios: {passed} passed, {len(failed) - len(red)} failed, "
        f"{len(red)} known red"
    )
    return 1 if len(failed) > len(red) or not results else 0


if __name__ == "__main__":
    main()
