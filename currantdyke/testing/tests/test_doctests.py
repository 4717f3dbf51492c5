import doctest
import importlib
import pkgutil
import unittest

import currantdyke


def module_names():
    found = pkgutil.walk_packages(currantdyke.__path__, "currantdyke.")
    return [
        m.name for m in found if ".tests" not in m.name and "__main__" not in m.name
    ]


def load_tests(loader, tests, pattern):
    for name in module_names():
        module = importlib.import_module(name)
        try:
            tests.addTests(doctest.DocTestSuite(module))
        except ValueError:
            continue
    return tests


class TestModules(unittest.TestCase):
    def test_more_than_twenty_modules_are_found(self):
        self.assertGreater(len(module_names()), 20)
