import unittest

import anyio

from currantdyke.testing import run_virtual


async def task_order():
    order = []

    async def record(number):
        await anyio.sleep(1.0)
        order.append(number)

    async with anyio.create_task_group() as tasks:
        for number in range(20):
            tasks.start_soon(record, number)
    return order


class TestRunVirtual(unittest.TestCase):
    def test_simultaneous_tasks_run_in_the_same_order_in_every_run(self):
        orders = {tuple(run_virtual(task_order)) for _ in range(5)}
        self.assertEqual(len(orders), 1)


if __name__ == "__main__":
    unittest.main()
