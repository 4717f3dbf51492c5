"""Entries of other writers among those of the endpoints."""

import unittest

import msgspec

from currantdyke.emulator import PlainEmulator
from currantdyke.gateway.tests.builders import KEY, plain_configuration
from currantdyke.platform.records import decode_record
from currantdyke.testing.gateways import run_deployment, run_on_sockets, wait_until

DEPTH = 100_000
SOUND_ENTRY = {
    "service": "plain",
    "address": "127.0.0.1:80",
    "zone": "zone-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 1,
    "born": 1,
}
REQUESTS = 12


def odd_entries() -> dict[str, bytes]:
    """Return the values of entries that name no endpoint to use, by what is odd."""
    changed = {
        "slots too large": {"slots": 10**30},
        "slots of no endpoint": {"slots": 2**31},
        "start too large": {"born": 2**70},
        "start beyond a message": {"born": 2**63},
        "start before all time": {"born": -1},
        "port too large": {"address": "127.0.0.1:65536"},
        "port with many digits": {"address": "127.0.0.1:" + "9" * 5_000},
        "port of another script": {"address": "127.0.0.1:²"},
        "no port": {"address": "127.0.0.1"},
        "name for an address": {"address": f"{'x' * 70}.example:80"},
        "line break in the address": {"address": "127.0.0.1\r\nx: y:80"},
        "list for a service": {"service": ["plain"]},
        "unknown state": {"state": "asleep"},
    }
    odd = {
        name: msgspec.json.encode(SOUND_ENTRY | new) for name, new in changed.items()
    }
    text = msgspec.json.encode(SOUND_ENTRY)
    odd["slots of infinite size"] = text.replace(b'"slots":8', b'"slots":1e999')
    odd["deep list"] = b"[" * DEPTH + b"]" * DEPTH
    odd["deep field"] = text[:-1] + b',"x":' + odd["deep list"] + b"}"
    odd["unfinished depth"] = b'{"a":' * DEPTH
    odd["no JSON"] = b"\xff\x00"
    odd["no object"] = b"7"
    return odd


class TestOddEntries(unittest.TestCase):
    # Guards against an entry that is neither used nor rejected as unreadable.
    def test_each_is_rejected_with_a_reason(self):
        for name, value in odd_entries().items():
            with self.subTest(name):
                self.assertTrue(decode_record("servers/i", value).is_error())

    # Guards against an id that no header can hold.
    def test_id_that_no_header_can_hold_is_rejected(self):
        value = msgspec.json.encode(SOUND_ENTRY)
        self.assertTrue(decode_record("servers/i", value).is_ok())
        for instance in ("", "a b", "a\r\nb", "\u4e2d", "x" * 300):
            with self.subTest(instance):
                key = f"servers/{instance}"
                self.assertTrue(decode_record(key, value).is_error())

    # Guards against a gateway that stops following the store, or ends, because of one
    # entry, and against requests that are sent to what it names.
    @run_on_sockets
    async def test_gateway_serves_and_follows_beside_them(self):
        document = plain_configuration()
        async with run_deployment(document) as deployment:
            await deployment.endpoint(PlainEmulator, "i-1", "plain")
            gateway = await deployment.gateway()
            for number, value in enumerate(odd_entries().values()):
                deployment.store.put(f"servers/odd-{number}", value)
            deployment.store.put("op/config", document | {"version": 2})
            await wait_until(lambda: gateway.directory.routes.catalog.version == 2)
            caller = deployment.caller()
            answers = [
                await caller.request("GET", "/plain/", headers=KEY)
                for _ in range(REQUESTS)
            ]
            listed = await deployment.gateway()
            events = {
                line["event"] for lines in deployment.lines.values() for line in lines
            }
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertEqual(list(gateway.directory.endpoints.known), ["i-1"])
        self.assertEqual(list(listed.directory.endpoints.known), ["i-1"])
        self.assertNotIn("internal_error", events)

    # Guards against an endpoint that stays in use by its last sound entry.
    @run_on_sockets
    async def test_endpoint_whose_entry_becomes_odd_is_used_no_more(self):
        for name, value in odd_entries().items():
            async with run_deployment(plain_configuration()) as deployment:
                await deployment.endpoint(PlainEmulator, "i-1", "plain")
                gateway = await deployment.gateway()
                deployment.store.put("servers/i-1", value)
                endpoints = gateway.directory.endpoints
                with self.subTest(name):
                    await wait_until(lambda t=endpoints: not t.known, seconds=2)


if __name__ == "__main__":
    unittest.main()
