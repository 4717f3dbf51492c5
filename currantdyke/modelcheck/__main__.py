"""Check all models and all planted faults; ``make model-check``."""

import sys

from currantdyke.bundle.model import models as configuration_models
from currantdyke.modelcheck.check import (
    MAX_STATES,
    MAX_STATES_WITH_FAULT,
    check_model,
)
from currantdyke.modelcheck.claims import CLAIM_FAULTS, claim_model


def main() -> int:
    """Print a report for each model; return 0 if all is as it should be."""
    proved = [check_model(claim_model(requests=number)) for number in (2, 3)]
    refuted = [
        check_model(
            claim_model(requests=2, faults=frozenset((fault,))), MAX_STATES_WITH_FAULT
        )
        for fault in CLAIM_FAULTS
    ]
    for model, must_hold in configuration_models():
        most = MAX_STATES if must_hold else MAX_STATES_WITH_FAULT
        (proved if must_hold else refuted).append(check_model(model, most))
    for report in (*proved, *refuted):
        print(report.text())
    as_expected = all(report.verdict == "proved" for report in proved) and all(
        report.verdict == "refuted" for report in refuted
    )
    print("all as expected" if as_expected else "NOT AS EXPECTED")
    return 0 if as_expected else 1


if __name__ == "__main__":
    sys.exit(main())
