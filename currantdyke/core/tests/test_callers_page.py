import pathlib
import re
import unittest

import currantdyke
from currantdyke.core import FailureKind, Outcome

PAGE = pathlib.Path(currantdyke.__file__).parent.parent / "docs" / "CALLERS.md"
ERROR_ROW = re.compile(r"^\| `(\w+)` \| (\d{3}) \| (.+) \|$", re.MULTILINE)


class TestCallersPage(unittest.TestCase):
    def test_error_table_matches_failure_kinds(self):
        rows = ERROR_ROW.findall(PAGE.read_text())
        kinds = [(kind.code, str(kind.status), kind.remedy) for kind in FailureKind]
        self.assertEqual(rows, kinds)

    def test_failure_codes_are_unique(self):
        codes = [kind.code for kind in FailureKind]
        self.assertEqual(len(set(codes)), len(codes))

    def test_every_outcome_is_listed(self):
        text = PAGE.read_text()
        for outcome in Outcome:
            self.assertIn(f"| `{outcome.value}` |", text)


if __name__ == "__main__":
    unittest.main()
