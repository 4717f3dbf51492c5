import functools
import random
import unittest

import anyio

from currantdyke.peers import (
    MemberStatus,
    MessageKind,
    MessageSeal,
    Rate,
    ReplayGuard,
    decode_message,
    encode_message,
    open_peer_sockets,
)
from currantdyke.peers.tests.builders import build_fact, build_member, build_message

BACKENDS = ("asyncio", "trio")


class TestCodec(unittest.TestCase):
    def test_every_field_comes_back(self):
        message = build_message(
            kind=MessageKind.GOSSIP,
            sequence=9,
            target="entry-2",
            version=12,
            members=(build_member(), build_member(status=MemberStatus.DEAD)),
            facts=(build_fact(), build_fact(key="demand/entry-1", value="")),
            content=b"\x00update",
            rates=(Rate(workspace="jos", per_second=2.5),),
        )
        self.assertEqual(decode_message(encode_message(message)).ok, message)

    def test_garbage_is_an_error_and_never_raises(self):
        source = random.Random(4)
        whole = encode_message(build_message(members=(build_member(),) * 3))
        for _ in range(2_000):
            data = bytearray(whole)
            for _ in range(source.randint(1, 6)):
                data[source.randrange(len(data))] = source.randrange(256)
            decode_message(bytes(data[: source.randint(0, len(data))]))


class TestSeal(unittest.TestCase):
    def test_one_changed_bit_anywhere_is_a_stranger(self):
        seal = MessageSeal(keys=["key-a"])
        sealed = seal.seal(build_message())
        for position in range(len(sealed)):
            changed = bytearray(sealed)
            changed[position] ^= 1
            self.assertEqual(seal.open(bytes(changed)).error, "stranger")

    def test_keys_are_replaced_in_steps_without_a_lost_message(self):
        seals = [MessageSeal(keys=["old"]) for _ in range(3)]
        for keys in (["old", "new"], ["new", "old"], ["new"]):
            for seal in seals:
                seal.use_keys(keys)
                for sender in seals:
                    for receiver in seals:
                        opened = receiver.open(sender.seal(build_message()))
                        self.assertTrue(opened.is_ok())

    def test_replayed_number_is_seen_and_overtaking_is_allowed(self):
        guard = ReplayGuard()
        order = [1, 3, 2, 5, 4, 400]
        self.assertTrue(all(guard.is_new("entry-1", "ab", n) for n in order))
        self.assertFalse(any(guard.is_new("entry-1", "ab", n) for n in order))
        self.assertTrue(guard.is_new("entry-1", "cd", 1))

    def test_senders_remembered_are_bounded(self):
        guard = ReplayGuard()
        for number in range(5_000):
            guard.is_new(f"entry-{number}", "ab", 1)
        self.assertLessEqual(len(guard.windows), 4_096)


class TestSockets(unittest.TestCase):
    def test_datagrams_and_calls_between_real_sockets(self):
        async def scenario():
            async def answer(question):
                return question[::-1] * 1000

            async with (
                open_peer_sockets("127.0.0.1", 0) as one,
                open_peer_sockets("127.0.0.1", 0) as two,
                anyio.create_task_group() as tasks,
            ):
                tasks.start_soon(two.serve_calls, answer)
                await one.send(two.address, b"datagram")
                with anyio.fail_after(5):
                    received, sender = await two.receive()
                self.assertEqual(sender, one.address)
                called = await one.call(two.address, b"abc", 10_000)
                with self.assertRaises(OSError):
                    await one.call(two.address, b"abc", 100)
                tasks.cancel_scope.cancel()
                return received, called

        for backend in BACKENDS:
            run = functools.partial(anyio.run, scenario, backend=backend)
            received, called = run()
            self.assertEqual(received, b"datagram")
            self.assertEqual(called, b"cba" * 1000)

    def test_tasks_may_send_at_the_same_time(self):
        async def scenario():
            async with (
                open_peer_sockets("127.0.0.1", 0) as one,
                open_peer_sockets("127.0.0.1", 0) as two,
                anyio.create_task_group() as tasks,
            ):
                for number in range(20):
                    tasks.start_soon(one.send, two.address, b"%d" % number)
                with anyio.fail_after(5):
                    return {(await two.receive())[0] for _ in range(20)}

        for backend in BACKENDS:
            self.assertEqual(len(anyio.run(scenario, backend=backend)), 20)


if __name__ == "__main__":
    unittest.main()
