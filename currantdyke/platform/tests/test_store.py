import unittest
from unittest import mock

import anyio
import msgspec

from currantdyke.core import Position
from currantdyke.emulator.store import StoreEmulator
from currantdyke.platform.store import (
    CALL_TIMEOUT_SECONDS,
    MAX_ANSWER_BYTES,
    HistoryGoneError,
    Lease,
    LeaseEndedError,
    StoreClient,
    StoreUnavailableError,
    WatchCutError,
)
from currantdyke.platform.tests.builders import (
    ScriptedStream,
    chunked_head,
    era_head,
    event,
    head,
    paced,
    page_answer,
    watch_answer,
)
from currantdyke.testing.gateways import run_on_sockets
from currantdyke.testing.virtual import run_virtual

WATCH_WAIT_SECONDS = 0.5
# A configuration of this size is about 500 KB in base64.
VALUE_BYTES = 375_000
SLOW_BYTES_PER_SECOND = 250_000


async def run_call(parts, call, *, parts_after_reconnect=()):
    """Return the client, the result or error of a call, and its seconds."""
    streams = [ScriptedStream(parts), ScriptedStream(parts_after_reconnect)]
    client = StoreClient(address="127.0.0.1:1")
    started = anyio.current_time()
    with mock.patch.object(anyio, "connect_tcp", mock.AsyncMock(side_effect=streams)):
        try:
            result = await call(client)
        except (StoreUnavailableError, HistoryGoneError) as error:
            result = error
    seconds = anyio.current_time() - started
    await client.close()
    for stream in streams:
        await stream.aclose()
    return client, result, seconds


async def watch(client):
    return await client.watch(Position(0, 1), WATCH_WAIT_SECONDS)


async def list_all(client):
    return await client.list_all()


class TestFailedCall(unittest.TestCase):
    # Guards against "TimeoutError" as the only reason of a store_lost line.
    def test_reason_says_how_far_the_call_came(self):
        body = watch_answer(1_000)
        half = len(body) // 2
        cases = {
            "no answer after 2.00 s: TimeoutError": [],
            f"incomplete answer after 1.50 s, {half} of {len(body)} bytes: "
            "TimeoutError": [(0.0, head(body)), (0.0, body[:half])],
            "incomplete answer after 1.50 s, 4 bytes: TimeoutError": [
                (0.0, chunked_head()),
                (0.0, b"4\r\n1234\r\n"),
            ],
        }
        for reason, parts in cases.items():
            with self.subTest(reason):
                _, error, _ = run_virtual(run_call, parts, watch)
                self.assertEqual(str(error), reason)

    def test_reason_names_a_connection_that_could_not_be_opened(self):
        async def call():
            client = StoreClient(address="127.0.0.1:1")
            refused = mock.AsyncMock(side_effect=ConnectionRefusedError("refused"))
            with (
                mock.patch.object(anyio, "connect_tcp", refused),
                self.assertRaises(StoreUnavailableError) as caught,
            ):
                await watch(client)
            return str(caught.exception)

        self.assertEqual(run_virtual(call), "no connection after 0.00 s: refused")


class TestCutWatch(unittest.TestCase):
    # Guards against a watch that is cut and passes for an outage (review case 14).
    @run_on_sockets
    async def test_cut_of_a_watch_is_told_from_an_outage(self):
        store = StoreEmulator(cut_watches_after=0.05)
        async with anyio.create_task_group() as tasks:
            await tasks.start(store.run)
            client = StoreClient(address=store.address)
            position = await client.read_position()
            with self.assertRaises(WatchCutError):
                await client.watch(position, WATCH_WAIT_SECONDS)
            self.assertEqual(await client.watch(position, 0.0), ([], position))
            store.put("a", {})
            later = await client.read_position()
            self.assertEqual(later.revision, position.revision + 1)
            store.fault = "busy"
            with self.assertRaises(StoreUnavailableError) as caught:
                await client.watch(later, WATCH_WAIT_SECONDS)
            self.assertNotIsInstance(caught.exception, WatchCutError)
            await client.close()
            tasks.cancel_scope.cancel()

    # Guards against an orderly close that passes for a malformed answer.
    def test_orderly_close_cuts_a_watch_and_part_of_an_answer_does_not(self):
        for part, is_cut in ((b"", True), (b"HTTP", False), (b"\0\r\n\r\n", False)):
            with self.subTest(part=part):
                parts = [(0.1, part), (0.1, b"")]
                _, error, _ = run_virtual(run_call, parts, watch)
                self.assertIsInstance(error, StoreUnavailableError)
                self.assertEqual(isinstance(error, WatchCutError), is_cut)


class TestSlowAnswer(unittest.TestCase):
    # Guards against a large configuration that never arrives over a slow link.
    def test_large_answer_that_keeps_arriving_is_read_to_its_end(self):
        for call, body in (
            (watch, watch_answer(VALUE_BYTES)),
            (list_all, page_answer(VALUE_BYTES)),
        ):
            with self.subTest(call.__name__):
                parts = [(0.0, head(body)), *paced(body, SLOW_BYTES_PER_SECOND)]
                _, result, seconds = run_virtual(run_call, parts, call)
                self.assertNotIsInstance(result, Exception, str(result))
                (change,), position = result
                self.assertEqual(
                    (len(change.value), position), (VALUE_BYTES, Position(0, 2))
                )
                self.assertGreater(seconds, 1.9)

    # Issue 32: an answer that nobody needed any more kept peers' answers waiting.
    def test_paused_answer_is_read_to_its_end_later(self):
        body = watch_answer(VALUE_BYTES)
        parts = [(0.0, head(body)), *paced(body, SLOW_BYTES_PER_SECOND)]
        pause = 3 * CALL_TIMEOUT_SECONDS

        async def watch_with_pause(client):
            async with anyio.create_task_group() as tasks:

                async def pause_answer():
                    await anyio.sleep(1.0)
                    with client.pause_answer():
                        await anyio.sleep(0.1)
                        received = client.transfer.received
                        await anyio.sleep(pause)
                        self.assertEqual(client.transfer.received, received)

                tasks.start_soon(pause_answer)
                return await watch(client)

        _, result, seconds = run_virtual(run_call, parts, watch_with_pause)
        self.assertNotIsInstance(result, Exception, str(result))
        self.assertGreater(seconds, 1.9 + pause)

    # Guards against a call that waits for ever for the rest of an answer.
    def test_answer_that_stalls_midway_fails_a_time_limit_after_its_last_data(self):
        body = watch_answer(VALUE_BYTES)
        begun = paced(body, SLOW_BYTES_PER_SECOND)[:40]
        arrived = sum(delay for delay, _ in begun)
        parts = [(0.0, head(body)), *begun]
        _, result, seconds = run_virtual(run_call, parts, watch)
        self.assertIsInstance(result, StoreUnavailableError)
        self.assertIn(f"400000 of {len(body)} bytes", str(result))
        self.assertAlmostEqual(seconds, arrived + CALL_TIMEOUT_SECONDS)

    def test_wait_of_a_watch_extends_the_time_limit_of_the_head_only(self):
        body = watch_answer(VALUE_BYTES)
        waited = CALL_TIMEOUT_SECONDS + WATCH_WAIT_SECONDS - 0.1
        _, result, seconds = run_virtual(run_call, [(waited, head(body))], watch)
        self.assertIsInstance(result, StoreUnavailableError)
        self.assertAlmostEqual(seconds, waited + CALL_TIMEOUT_SECONDS)

    # Guards against a call that a trickle of data keeps open for hours.
    def test_answer_that_only_trickles_fails(self):
        body = watch_answer(VALUE_BYTES)
        trickle = [(1.0, body[at : at + 1]) for at in range(100)]
        parts = [(0.0, head(body)), *trickle]
        _, result, seconds = run_virtual(run_call, parts, watch)
        self.assertIsInstance(result, StoreUnavailableError)
        self.assertLess(seconds, 2 * CALL_TIMEOUT_SECONDS)

    # Guards against the same on a real connection, with the backend of the daemons.
    @run_on_sockets
    async def test_large_answers_of_a_slow_store_are_read_from_a_socket(self):
        store = StoreEmulator(bytes_per_second=SLOW_BYTES_PER_SECOND)
        async with anyio.create_task_group() as tasks:
            await tasks.start(store.run)
            client = StoreClient(address=store.address)
            before = Position(store.era, store.revision)
            after = Position(store.era, store.put("op/config", bytes(VALUE_BYTES)))
            for result in (await list_all(client), await client.watch(before, 0.5)):
                (change,), at = result
                self.assertEqual((len(change.value), at), (VALUE_BYTES, after))
            await client.close()
            tasks.cancel_scope.cancel()


class TestTooLargeAnswer(unittest.TestCase):
    # Guards against a watch that is repeated though its answer never fits.
    def test_watch_with_too_large_an_answer_asks_for_a_list(self):
        body = bytes(MAX_ANSWER_BYTES + 1)
        cases = {
            "announced": [(0.0, head(body))],
            "found while reading": [
                (0.0, chunked_head()),
                (0.0, b"%x\r\n" % len(body)),
                (0.0, body),
            ],
        }
        for name, parts in cases.items():
            with self.subTest(name):
                client, error, seconds = run_virtual(run_call, parts, watch)
                self.assertIsInstance(error, HistoryGoneError)
                self.assertIn(str(MAX_ANSWER_BYTES), str(error))
                self.assertIsNone(client.connection)
                self.assertEqual(seconds, 0.0)

    def test_list_with_too_large_a_page_is_a_failure_of_the_store(self):
        parts = [(0.0, head(bytes(MAX_ANSWER_BYTES + 1)))]
        _, error, _ = run_virtual(run_call, parts, list_all)
        self.assertIsInstance(error, StoreUnavailableError)
        self.assertIn(str(MAX_ANSWER_BYTES), str(error))

    def test_discarded_history_says_so(self):
        parts = [(0.0, head(b"{}", 410)), (0.0, b"{}")]
        _, error, _ = run_virtual(run_call, parts, watch)
        self.assertIsInstance(error, HistoryGoneError)
        self.assertIn("410", str(error))


class TestEras(unittest.TestCase):
    def read(self, call, *answers):
        """Return the result of a call, and what was found in place of an era."""
        found = []
        parts = [(0.0, era_head(body, era) + body) for era, body in answers]

        async def run(client):
            client.on_unusable_era = found.append
            return await call(client)

        _, result, _ = run_virtual(run_call, parts, run)
        return result, found

    def test_changes_have_the_era_of_their_answer(self):
        body = page_answer(10)
        ((change,), position), _ = self.read(list_all, (b"7", body))
        self.assertEqual((change.era, position), (7, Position(7, 2)))

    # Guards against the changes of another history that follow a known position.
    def test_watch_that_is_answered_in_another_era_is_not_used(self):
        async def watch_after_list(client):
            _, position = await client.list_all()
            return await client.watch(position, WATCH_WAIT_SECONDS)

        answers = ((b"7", page_answer(10)), (b"8", watch_answer(10)))
        result, _ = self.read(watch_after_list, *answers)
        self.assertIsInstance(result, HistoryGoneError)

    def test_list_of_two_eras_is_not_used(self):
        first = msgspec.json.encode(
            {"entries": [event(2, b"x")], "has_more": True, "at": 2}
        )
        result, _ = self.read(list_all, (b"7", first), (b"8", page_answer(10)))
        self.assertIsInstance(result, HistoryGoneError)

    # Guards against a store that is given up for its header.
    def test_last_known_era_holds_without_a_usable_one(self):
        async def list_twice(client):
            await client.list_all()
            return await client.list_all()

        body = page_answer(10)
        for text in (None, b"", b"many", b"-1", b"6", b"99999999999"):
            with self.subTest(text):
                result, found = self.read(list_twice, (b"7", body), (text, body))
                self.assertEqual(result[1], Position(7, 2))
                named = None if text is None else text.decode()
                self.assertEqual(found, [named])

    # Guards against a lease of the lost seconds that is taken for valid, or that is
    # another daemon's by now.
    def test_lease_ends_with_its_era(self):
        lease = Lease(number=5, era=7)
        body = msgspec.json.encode({"ttl_ms": 1_000})

        async def renew(client):
            client.era = 7
            try:
                await client.renew_lease(lease)
            except LeaseEndedError as error:
                return error
            return None

        self.assertIsNone(self.read(renew, (b"7", body))[0])
        self.assertIsInstance(self.read(renew, (b"8", body))[0], LeaseEndedError)


async def run_two_calls(parts, first, second, delay, **options):
    """Start a second call some seconds after the first; return both results."""
    results = {}

    async def call(client):
        async def record(name, function):
            try:
                results[name] = await function(client)
            except StoreUnavailableError as error:
                results[name] = error

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(record, "first", first)
            await anyio.sleep(delay)
            tasks.start_soon(record, "second", second)

    await run_call(parts, call, **options)
    return results["first"], results["second"]


class TestTwoCalls(unittest.TestCase):
    # Guards against a waiting call that closes the connection of the call in progress.
    def test_call_that_gives_up_waiting_leaves_the_other_alone(self):
        body = watch_answer(2 * VALUE_BYTES)
        parts = [(0.0, head(body)), *paced(body, SLOW_BYTES_PER_SECOND)]
        first, second = run_virtual(run_two_calls, parts, watch, list_all, 0.1)
        self.assertNotIsInstance(first, Exception, str(first))
        self.assertIsInstance(second, StoreUnavailableError)
        self.assertEqual(str(second), "another call in progress for 1.5 s")

    # Guards against a call whose time limit passes before its request is sent.
    def test_call_that_had_to_wait_has_its_whole_time_limit(self):
        seconds = CALL_TIMEOUT_SECONDS - 0.1
        answers = [watch_answer(10), page_answer(10)]
        parts = [(seconds, head(body) + body) for body in answers]
        for result in run_virtual(run_two_calls, parts, watch, list_all, 0.1):
            self.assertNotIsInstance(result, Exception, str(result))

    # Guards against a failed call that closes the connection of the next one.
    def test_call_that_waited_for_a_failed_one_gets_a_new_connection(self):
        body = page_answer(10)
        first, second = run_virtual(
            run_two_calls,
            [],
            watch,
            list_all,
            1.0,
            parts_after_reconnect=[(0.1, head(body) + body)],
        )
        self.assertIsInstance(first, StoreUnavailableError)
        self.assertNotIsInstance(second, Exception, str(second))

    # Guards against a call that fails on a connection with an answer still to come.
    def test_cancelled_call_leaves_no_connection_to_the_next_one(self):
        async def cancelled_call(client):
            with anyio.move_on_after(0.1):
                await watch(client)
            return client.connection

        _, connection, _ = run_virtual(run_call, [], cancelled_call)
        self.assertIsNone(connection)


if __name__ == "__main__":
    unittest.main()
