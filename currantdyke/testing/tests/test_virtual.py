import unittest

import anyio

from currantdyke.testing import run_virtual


async def order_of_tasks():
    order = []

    async def note(number):
        await anyio.sleep(1.0)
        order.append(number)

    async with anyio.create_task_group() as tasks:
        for number in range(20):
            tasks.start_soon(note, number)
    return order


class TestRunVirtual(unittest.TestCase):
    def test_tasks_of_one_instant_run_in_the_same_order_each_time(self):
        orders = {tuple(run_virtual(order_of_tasks)) for _ in range(5)}
        self.assertEqual(len(orders), 1)


if __name__ == "__main__":
    unittest.main()
