import os
import types
import unittest

import anyio

from currantdyke.decisionlog import DecisionLog
from currantdyke.scheduler.client import SchedulerClient
from currantdyke.scheduler.messages import ProgressKind
from currantdyke.testing.virtual import run_virtual


class WaitingScheduler:
    """A scheduler that places no request, and records the progress of each."""

    def __init__(self):
        self.progress = []

    async def place(self, request):
        await anyio.sleep_forever()

    def record_progress(self, progress):
        self.progress.append((progress.attempt_id, progress.kind))


def build_client(local):
    """Return the client of a daemon that knows no other daemon."""
    own = types.SimpleNamespace(name="entry-1", ip="10.0.0.1", cores=1.0)
    return SchedulerClient(
        peers=types.SimpleNamespace(others=list, own=own),
        local=local,
        log=DecisionLog(daemon="d", descriptor=os.open(os.devnull, os.O_WRONLY)),
        is_leaving=lambda: False,
    )


class TestCancelledPlacement(unittest.TestCase):
    # Guards against a request whose state stays after its deadline or its caller's end.
    def test_cancelled_local_placement_ends_the_request(self):
        local = WaitingScheduler()
        client = build_client(local)
        request = types.SimpleNamespace(attempt_id="a1", service="engine")

        async def scenario():
            with anyio.move_on_after(1.0):
                await client.place(request)

        run_virtual(scenario)
        self.assertEqual(client.placed_by, {})
        self.assertEqual(local.progress, [("a1", ProgressKind.CANCELLED)])

    # Guards against a live run that is no longer counted, since a second placement was
    # cancelled for it.
    def test_cancelled_second_placement_leaves_the_first(self):
        local = WaitingScheduler()
        client = build_client(local)
        client.placed_by["a1"] = ("",)
        request = types.SimpleNamespace(attempt_id="a1", service="engine")

        async def scenario():
            with anyio.move_on_after(1.0):
                await client.place(request)

        run_virtual(scenario)
        self.assertEqual(client.placed_by, {"a1": ("",)})
        self.assertEqual(local.progress, [])


if __name__ == "__main__":
    unittest.main()
