import unittest
from unittest import mock

from currantdyke.modelcheck import __main__ as command


class TestCommand(unittest.TestCase):
    def test_each_protocol_has_a_correct_model_and_injected_faults(self):
        with mock.patch.object(
            command, "check_model", lambda model, max_states=0: model
        ):
            correct = {model.name for model in command.correct_model_reports()}
            faulty = {model.name for model in command.faulty_model_reports()}
        for protocol in ("sends",):
            with self.subTest(protocol=protocol):
                self.assertTrue(any(name.startswith(protocol) for name in correct))
                self.assertTrue(any(name.startswith(protocol) for name in faulty))


if __name__ == "__main__":
    unittest.main()
