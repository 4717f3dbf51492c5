"""Check all models, with and without injected faults: ``make model-check``."""

import sys
from collections.abc import Iterator

from currantdyke.modelcheck.check import ModelReport, check_model
from currantdyke.modelcheck.sends import SEND_FAULTS, send_model


def correct_model_reports() -> Iterator[ModelReport]:
    """Check the protocol models without faults."""
    yield check_model(send_model())


def faulty_model_reports() -> Iterator[ModelReport]:
    """Check the protocol models with one injected fault each."""
    for fault in SEND_FAULTS:
        yield check_model(send_model(faults=frozenset((fault,))))


def main() -> int:
    """Print a report for each model and return the exit status.

    The status is 0 if all correct models are proved and all faulty ones refuted.
    """
    as_expected = True
    for expected, reports in (
        ("proved", correct_model_reports()),
        ("refuted", faulty_model_reports()),
    ):
        for report in reports:
            print(report.text(), flush=True)
            as_expected = as_expected and report.verdict == expected
    print("all as expected" if as_expected else "NOT AS EXPECTED")
    return 0 if as_expected else 1


if __name__ == "__main__":
    sys.exit(main())
