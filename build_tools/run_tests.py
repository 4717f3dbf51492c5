"""Run all tests of the package and print a summary line.

Tests listed in KNOWN-RED.txt (one ``test: <id>`` line per entry) are run and their
failures are printed, but do not change the exit status.
"""

import concurrent.futures
import io
import multiprocessing
import os
import pathlib
import re
import sys
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MAX_WORKERS = 6
SLOWEST_SHOWN = 5


def known_red_ids() -> set[str]:
    """Return the ids of the tests that are expected to fail."""
    if not KNOWN_RED.exists():
        return set()
    return set(re.findall(r"^test: (\S+)", KNOWN_RED.read_text(), re.MULTILINE))


def test_modules() -> list[str]:
    """Return the dotted names of all test modules, sorted."""
    paths = sorted(ROOT.glob("currantdyke/**/tests/test_*.py"))
    return [".".join(p.relative_to(ROOT).with_suffix("").parts) for p in paths]


def test_id(case: unittest.TestCase) -> str:
    """Return the id of a test without the parameters of a subtest."""
    return case.id().split(" ")[0]


def run_module(name: str) -> tuple[str, int, list[tuple[str, str]], int, float]:
    """Run one test module.

    Returns its name, the number of tests run, the failures as pairs of test id and
    traceback, the number of skipped tests, and the elapsed seconds.
    """
    sys.path.insert(0, str(ROOT))
    started = time.monotonic()
    suite = unittest.defaultTestLoader.loadTestsFromName(name)
    result = unittest.TextTestRunner(stream=io.StringIO(), verbosity=0).run(suite)
    failures = [(test_id(case), text) for case, text in result.failures + result.errors]
    failures += [
        (case.id(), "unexpected success") for case in result.unexpectedSuccesses
    ]
    elapsed = time.monotonic() - started
    return name, result.testsRun, failures, len(result.skipped), elapsed


def main() -> int:
    """Run the test modules given on the command line, or all of them."""
    modules = sys.argv[1:] or test_modules()
    known_red = known_red_ids()
    workers = min(MAX_WORKERS, os.cpu_count() or 1, max(1, len(modules)))
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(
        workers, mp_context=context, max_tasks_per_child=1
    ) as pool:
        results = list(pool.map(run_module, modules))
    passed = failed = skipped = 0
    for name, count, failures, skips, seconds in results:
        print(f"{name}: {count} tests, {len(failures)} failed, {seconds:.1f} s")
        for failed_id, text in failures:
            label = "KNOWN RED" if failed_id in known_red else "FAILED"
            print(f"{label} {failed_id}\n{text}")
        failed_ids = {entry[0] for entry in failures}
        known_red_failures = failed_ids & known_red
        failed += len(failed_ids) - len(known_red_failures)
        skipped += skips + len(known_red_failures)
        passed += max(0, count - len(failed_ids) - skips)
    slowest = sorted(results, key=lambda row: -row[4])[:SLOWEST_SHOWN]
    print("slowest: " + ", ".join(f"{row[0]} {row[4]:.1f} s" for row in slowest))
    suffix = f", {skipped} skipped" if skipped else ""
    print(f"{passed} passed, {failed} failed{suffix}")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
