import types
import unittest
from unittest import mock

import anyio

from currantdyke.soak.states import _leave
from currantdyke.testing.virtual import run_virtual


class TestLeave(unittest.TestCase):
    # Soak, pattern states, seed 4012: two activities chose the same endpoint.
    def test_endpoint_that_two_activities_choose_is_replaced_once(self):
        async def scenario():
            world = mock.Mock()
            world.replacement_lock = anyio.Lock()
            world.endpoints = {"plain-1": types.SimpleNamespace(service="plain")}
            world.start_endpoint = mock.AsyncMock()
            world.remove_endpoint.side_effect = world.endpoints.pop
            async with anyio.create_task_group() as tasks:
                for _ in range(2):
                    tasks.start_soon(lambda: _leave(world, "plain-1", announced=False))
            return world.start_endpoint.await_count

        self.assertEqual(run_virtual(scenario), 1)


if __name__ == "__main__":
    unittest.main()
