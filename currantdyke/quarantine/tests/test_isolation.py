import unittest

import anyio

from currantdyke.endpoints import EndpointTable
from currantdyke.quarantine import Quarantine, SuspectIsolation, fingerprint_of
from currantdyke.testing import run_virtual
from currantdyke.testing.builders import build_bundle, build_exchange


async def accept_connection(url):
    return True


def build_isolation(exchange):
    quarantine = Quarantine(now=anyio.current_time)
    quarantine.count_crash(
        fingerprint_of(exchange), alone=False, in_flight=2, service="encoder"
    )
    return SuspectIsolation(quarantine=quarantine, can_connect=accept_connection)


def build_endpoints():
    table = EndpointTable()
    table.follow(build_bundle({"encoder": [f"http://encoder-{n}:1" for n in "1234"]}))
    return table.of_service("encoder")


class TestRunningCopies(unittest.TestCase):
    def test_cancelled_waiting_copy_does_not_unregister_the_running_one(self):
        async def scenario():
            exchange = build_exchange(deadline=anyio.current_time() + 60.0)
            isolation, endpoints = build_isolation(exchange), build_endpoints()
            running = []

            async def copy(number, seconds):
                async with isolation.permit(exchange, endpoints):
                    running.append(number)
                    await anyio.sleep(seconds)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(copy, 1, 10.0)
                await anyio.sleep(2.0)
                with anyio.move_on_after(1.0):
                    await copy(2, 10.0)
                tasks.start_soon(copy, 3, 1.0)
                await anyio.sleep(3.0)
                tasks.cancel_scope.cancel()
            return running

        self.assertEqual(run_virtual(scenario), [1])


if __name__ == "__main__":
    unittest.main()
