"""Answers that come, and break off, while the request is still being written."""

import unittest

import anyio

from currantdyke.catalog import Endpoint
from currantdyke.forward.attempt import OutgoingRequest, attempt
from currantdyke.forward.connections import EndpointConnections
from currantdyke.gateway.tests.early_builders import EarlyEmulator, Ending
from currantdyke.testing.gateways import run_on_sockets

# More than the buffers of the sockets on both sides take.
LONG_BODY = b"x" * 12_000_000


class CallerError(Exception):
    """The caller of a request accepts no answer."""


def long_request():
    """Return a request of which the endpoint reads the rest after its answer."""
    headers = [
        (b"host", b"one.example"),
        (b"content-length", b"%d" % len(LONG_BODY)),
    ]
    return OutgoingRequest(
        method=b"POST",
        target=b"/plain/",
        headers=headers,
        body=LONG_BODY,
        attempt_id="",
        once=True,
    )


class TestKeptConnections(unittest.TestCase):
    # Guards against the rest of a request in the place of the next one (UNASKED): an
    # error behind a whole answer must not keep the connection on which it is written.
    @run_on_sockets
    async def test_connection_with_a_request_half_written_is_not_kept(self):
        early = EarlyEmulator(
            instance="early",
            service="plain",
            head=b"content-length: 4\r\n",
            part=b"done",
            ending=Ending.KEEP,
            seconds=1.0,
        )
        connections = EndpointConnections()
        async with anyio.create_task_group() as tasks:
            await tasks.start(early.run)
            endpoint = Endpoint(
                instance="early",
                service="plain",
                address=early.address,
                availability_zone="zone-a",
            )
            with self.assertRaises(CallerError):
                async with attempt(
                    connections, endpoint, long_request(), on_send=lambda: None
                ) as response:
                    while await response.read() is not None:
                        pass
                    raise CallerError
            tasks.cancel_scope.cancel()
        self.assertEqual(connections.idle, {})


if __name__ == "__main__":
    unittest.main()
