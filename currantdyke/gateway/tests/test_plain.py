import unittest

import anyio
import h11

from currantdyke.emulator import PlainEmulator
from currantdyke.testing.gateways import (
    configuration,
    plain_route,
    run_deployment,
    run_on_sockets,
    wait_until,
)

KEY = {"authorization": "Token k1"}


class TestPlainRequests(unittest.TestCase):
    @run_on_sockets
    async def test_endpoint_answer_is_forwarded_complete_and_unchanged(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            endpoint = await deployment.endpoint(PlainEmulator, "i-1", "plain")
            await deployment.gateway()
            answer = await deployment.caller().request(
                "POST", "/plain/x?y=1", body=b"abc" * 9_000, headers=KEY
            )
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.body, b"POST /plain/x?y=1 " + b"abc" * 9_000)
        self.assertEqual(answer.headers["x-server-signature"], "signed.i-1")
        self.assertEqual(len(endpoint.arrivals), 1)

    @run_on_sockets
    async def test_endpoint_gets_workspace_instance_and_deadline_but_not_the_key(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            endpoint = await deployment.endpoint(PlainEmulator, "i-1", "plain")
            await deployment.gateway()
            forged = {
                "x-tenant": "other",
                "x-expect-instance": "i-9",
                "x-kv-hold": "h",
                "kv-from": "10.0.0.1:1/h",
                "x-pin-ms": "9",
                "connection": "x-model, x-mine",
                "x-model": "m",
                "x-mine": "1",
            }
            answer = await deployment.caller().request(
                "GET", "/plain/", headers=KEY | forged
            )
        self.assertEqual(answer.status, 200)
        sent = endpoint.arrivals[0].headers
        self.assertEqual(sent["x-tenant"], "cider")
        self.assertEqual(sent["x-expect-instance"], "i-1")
        self.assertEqual(sent["x-model"], "m")
        self.assertLessEqual(int(sent["x-deadline-ms"]), 2_000)
        for name in ("authorization", "x-kv-hold", "kv-from", "x-pin-ms", "x-mine"):
            self.assertNotIn(name, sent)

    # Guards against an answer that is given up while it arrives, and a second run.
    @run_on_sockets
    async def test_long_answer_that_arrives_slowly_is_not_asked_for_elsewhere(self):
        body = b"x" * 300_000
        piece = 15_000

        async def answer_slowly(request, reply):
            endpoint = endpoints[request.headers["x-expect-instance"]]
            endpoint.runs.append(request.attempt_id)
            headers = endpoint.answer_headers(request)
            head = [(name.encode(), value.encode()) for name, value in headers.items()]
            head.append((b"content-length", b"%d" % len(body)))
            await reply.connection.send(h11.Response(status_code=200, headers=head))
            for start in range(0, len(body), piece):
                await anyio.sleep(0.05)
                data = h11.Data(data=body[start : start + piece])
                await reply.connection.send(data)
            await reply.connection.send(h11.EndOfMessage())
            return True

        route = plain_route(target_latency_ms=150, max_attempts=2)
        async with run_deployment(configuration(1, [route])) as deployment:
            endpoints = {
                name: await deployment.endpoint(
                    PlainEmulator, name, "plain", handle_first=answer_slowly
                )
                for name in ("i-1", "i-2")
            }
            await deployment.gateway()
            answer = await deployment.caller().request("GET", "/plain/", headers=KEY)
            runs = [run for endpoint in endpoints.values() for run in endpoint.runs]
        self.assertEqual((answer.status, len(runs)), (200, 1))
        self.assertEqual(answer.body, body)

    @run_on_sockets
    async def test_unknown_route_gives_404_and_unknown_key_gives_401(self):
        routes = [
            plain_route(),
            plain_route(name="p", prefix="/open/", public=True),
        ]
        async with run_deployment(configuration(1, routes)) as deployment:
            await deployment.endpoint(PlainEmulator, "i-1", "plain")
            await deployment.gateway()
            caller = deployment.caller()
            statuses = [
                (await caller.request("GET", target, headers=headers)).status
                for target, headers in (
                    ("/none/", KEY),
                    ("/plain/", {}),
                    ("/plain/", {"authorization": "Token k2"}),
                    ("/open/", {}),
                )
            ]
        self.assertEqual(statuses, [404, 401, 401, 200])

    @run_on_sockets
    async def test_non_idempotent_request_is_not_resent_after_a_lost_answer(self):
        route = plain_route(type="non_idempotent", max_attempts=3)

        async def reset(request, reply):
            endpoint.runs.append(request.headers["x-attempt-id"])
            await reply.reset()

        async with run_deployment(configuration(1, [route])) as deployment:
            endpoint = await deployment.endpoint(
                PlainEmulator, "i-1", "plain", handle_first=reset
            )
            other = await deployment.endpoint(PlainEmulator, "i-2", "plain")
            await deployment.gateway()
            while not endpoint.runs:
                answer = await deployment.caller().request(
                    "POST", "/plain/", headers=KEY
                )
        self.assertEqual(answer.status, 502)
        self.assertNotIn(endpoint.runs[0], other.runs)
        self.assertNotIn("retry-after", answer.headers)

    @run_on_sockets
    async def test_refusal_marked_not_executed_gives_503_with_retry_after(self):
        route = plain_route(type="non_idempotent", max_attempts=1)

        async def refuse(request, reply):
            await reply.send_response(503, {"x-not-executed": "1"})
            return True

        async with run_deployment(configuration(1, [route])) as deployment:
            await deployment.endpoint(
                PlainEmulator, "i-1", "plain", handle_first=refuse
            )
            await deployment.gateway()
            answer = await deployment.caller().request("POST", "/plain/", headers=KEY)
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        self.assertNotIn("x-server-signature", answer.headers)

    @run_on_sockets
    async def test_truncated_answers_to_idempotent_request_give_502_after_retry(self):
        async def truncate(request, reply):
            await reply.send_raw(b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\nhalf")
            await reply.close()

        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            endpoints = [
                await deployment.endpoint(
                    PlainEmulator, f"i-{number}", "plain", handle_first=truncate
                )
                for number in range(3)
            ]
            await deployment.gateway()
            answer = await deployment.caller().request("GET", "/plain/", headers=KEY)
        self.assertEqual(answer.status, 502)
        self.assertEqual(sum(len(endpoint.arrivals) for endpoint in endpoints), 2)

    @run_on_sockets
    async def test_success_without_signature_or_of_another_attempt_gives_502(self):
        async def unsigned(request, reply):
            await reply.send_response(
                200, {"x-attempt-id": request.headers["x-attempt-id"]}
            )
            return True

        async def wrong_attempt(request, reply):
            await reply.send_response(
                200, {"x-attempt-id": "zz", "x-server-signature": "s"}, b"not yours"
            )
            return True

        route = plain_route(max_attempts=1)
        for answer_wrongly in (unsigned, wrong_attempt):
            async with run_deployment(configuration(1, [route])) as deployment:
                await deployment.endpoint(
                    PlainEmulator, "i-1", "plain", handle_first=answer_wrongly
                )
                await deployment.gateway()
                answer = await deployment.caller().request(
                    "GET", "/plain/", headers=KEY
                )
            self.assertEqual(answer.status, 502)
            self.assertNotIn(b"not yours", answer.body)

    @run_on_sockets
    async def test_unrequested_second_answer_on_a_connection_is_discarded(self):
        async def answer_twice(request, reply):
            if len(endpoint.arrivals) > 1:
                return False
            await reply.send_response(200, endpoint.answer_headers(request), b"first")
            await reply.send_raw(
                b"HTTP/1.1 200 OK\r\nx-server-signature: s\r\n"
                b"content-length: 5\r\n\r\nextra"
            )
            return True

        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            endpoint = await deployment.endpoint(
                PlainEmulator, "i-1", "plain", handle_first=answer_twice
            )
            await deployment.gateway()
            caller = deployment.caller()
            first = await caller.request("GET", "/plain/1", headers=KEY)
            await anyio.sleep(0.05)
            second = await caller.request("GET", "/plain/2", headers=KEY)
        self.assertEqual(first.body, b"first")
        self.assertEqual(second.body, b"GET /plain/2 ")

    @run_on_sockets
    async def test_failure_of_the_endpoint_is_forwarded_unchanged(self):
        async def fail(request, reply):
            await reply.send_response(
                500, endpoint.answer_headers(request), b"its own words"
            )
            return True

        route = plain_route(type="non_idempotent", max_attempts=1)
        async with run_deployment(configuration(1, [route])) as deployment:
            endpoint = await deployment.endpoint(
                PlainEmulator, "i-1", "plain", handle_first=fail
            )
            await deployment.gateway()
            answer = await deployment.caller().request("POST", "/plain/", headers=KEY)
        self.assertEqual((answer.status, answer.body), (500, b"its own words"))

    @run_on_sockets
    async def test_bodies_of_two_requests_on_one_connection_reach_the_endpoint(self):
        async def accept(request, reply):
            return False

        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            endpoint = await deployment.endpoint(
                PlainEmulator, "i-1", "plain", handle_first=accept
            )
            await deployment.gateway()
            caller = deployment.caller()
            bodies = [b"a" * 200_000, b"b" * 10]
            answers = [
                await caller.request("POST", "/plain/", body=body, headers=KEY)
                for body in bodies
            ]
        self.assertEqual([item.body[-10:] for item in answers], [b"a" * 10, b"b" * 10])
        self.assertEqual([item.body for item in endpoint.arrivals], bodies)

    @run_on_sockets
    async def test_route_time_out_gives_504_and_stops_the_endpoint(self):
        route = plain_route(type="non_idempotent", timeout_ms=300, max_attempts=1)
        async with run_deployment(configuration(1, [route])) as deployment:
            endpoint = await deployment.endpoint(
                PlainEmulator, "i-1", "plain", work_seconds=5.0
            )
            await deployment.gateway()
            answer = await deployment.caller().request("POST", "/plain/", headers=KEY)
            await wait_until(lambda: endpoint.stopped)
        self.assertEqual(answer.status, 504)
        self.assertLess(answer.seconds, 0.5)

    @run_on_sockets
    async def test_answer_at_the_deadline_is_delivered_complete(self):
        async def answer_late(request, reply):
            await anyio.sleep(int(request.headers["x-deadline-ms"]) / 1_000)
            await reply.send_response(
                504, endpoint.answer_headers(request), b"late" * 50
            )
            return True

        route = plain_route(type="non_idempotent", timeout_ms=150, max_attempts=1)
        async with run_deployment(configuration(1, [route])) as deployment:
            endpoint = await deployment.endpoint(
                PlainEmulator, "i-1", "plain", handle_first=answer_late
            )
            await deployment.gateway()
            for _ in range(20):
                caller = deployment.caller()
                answer = await caller.request("POST", "/plain/", headers=KEY)
                self.assertEqual(answer.status, 504)
                self.assertTrue(answer.complete)
                if "x-server-signature" in answer.headers:
                    self.assertEqual(answer.body, b"late" * 50)

    @run_on_sockets
    async def test_request_that_crashed_three_endpoints_is_sent_to_no_more(self):
        async def crash(request, reply):
            if b"poison" not in request.body:
                return False
            reached.append(request.headers["x-attempt-id"])
            endpoint = by_instance[request.headers["x-expect-instance"]]
            endpoint.cancel_scope.cancel()
            await reply.reset()
            return True

        reached, by_instance = [], {}
        route = plain_route(max_attempts=1)
        async with run_deployment(configuration(1, [route])) as deployment:
            for number in range(5):
                name = f"i-{number}"
                by_instance[name] = await deployment.endpoint(
                    PlainEmulator, name, "plain", handle_first=crash
                )
            gateways = [await deployment.gateway() for _ in range(2)]
            for gateway in gateways:
                await wait_until(lambda g=gateway: len(g.directory.daemons) == 2)
            statuses = []
            for number in range(8):
                caller = deployment.caller(number % 2)
                answer = await caller.request(
                    "POST", "/plain/", body=b"poison", headers=KEY
                )
                statuses.append(answer.status)
                await anyio.sleep(0.4)
            harmless = await deployment.caller().request(
                "POST", "/plain/", body=b"sound", headers=KEY
            )
        self.assertEqual(len(reached), 3)
        self.assertEqual(statuses[3:], [503] * 5)
        self.assertEqual(harmless.status, 200)

    @run_on_sockets
    async def test_disconnect_of_the_caller_stops_the_endpoint(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            endpoint = await deployment.endpoint(
                PlainEmulator, "i-1", "plain", work_seconds=5.0
            )
            await deployment.gateway()
            caller = deployment.caller()
            await caller.send("GET", "/plain/", headers=KEY)
            await wait_until(lambda: endpoint.runs)
            await caller.close()
            await wait_until(lambda: endpoint.stopped, seconds=0.5)


class TestConnections(unittest.TestCase):
    @run_on_sockets
    async def test_ambiguous_framing_is_refused_and_the_connection_closed(self):
        smuggled = (
            b"POST /plain/ HTTP/1.1\r\nhost: one.example\r\nx-attempt-id: a\r\n"
            b"authorization: Token k1\r\ncontent-length: 4\r\n"
            b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n"
            b"GET /plain/smuggled HTTP/1.1\r\nhost: one.example\r\n"
            b"x-attempt-id: b\r\n\r\n"
        )
        ambiguous = (
            smuggled,
            b"GET /plain/ HTTP/1.1\r\nhost: a\r\nhost: b\r\nx-attempt-id: a\r\n\r\n",
            b"POST /plain/ HTTP/1.1\r\nhost: one.example\r\nx-attempt-id: a\r\n"
            b"transfer-encoding: chunked\r\n\r\nzz\r\n",
            b"\x00\x01\x02\r\n\r\n",
        )
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            endpoint = await deployment.endpoint(PlainEmulator, "i-1", "plain")
            await deployment.gateway()
            for data in ambiguous:
                answer = await deployment.caller().raw(data)
                self.assertTrue(answer.startswith(b"HTTP/1.1 400 "), answer[:80])
                self.assertEqual(answer.count(b"HTTP/1.1"), 1)
        self.assertEqual(endpoint.arrivals, [])

    @run_on_sockets
    async def test_configured_limits_give_413_431_and_408(self):
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            await deployment.endpoint(PlainEmulator, "i-1", "plain")
            await deployment.gateway()
            large_body = await deployment.caller().request(
                "POST", "/plain/", body=b"x" * 1_000_001, headers=KEY
            )
            large_header = await deployment.caller().raw(
                b"GET /plain/ HTTP/1.1\r\nx: " + b"y" * 20_000
            )
            slow_header = await deployment.caller().raw(
                b"GET /plain/ HTTP/1.1\r\nhost: o"
            )
        self.assertEqual(large_body.status, 413)
        self.assertTrue(large_header.startswith(b"HTTP/1.1 431 "))
        self.assertTrue(slow_header.startswith(b"HTTP/1.1 408 "))

    @run_on_sockets
    async def test_pipelined_requests_are_answered_in_order(self):
        request = (
            b"GET /plain/%d HTTP/1.1\r\nhost: one.example\r\nx-attempt-id: p%d\r\n"
            b"x-deadline-ms: 2000\r\nauthorization: Token k1\r\n%s\r\n"
        )
        data = request % (1, 1, b"") + request % (2, 2, b"connection: close\r\n")
        async with run_deployment(configuration(1, [plain_route()])) as deployment:
            await deployment.endpoint(PlainEmulator, "i-1", "plain")
            await deployment.gateway()
            answer = await deployment.caller().raw(data)
        self.assertLess(answer.index(b"GET /plain/1"), answer.index(b"GET /plain/2"))


if __name__ == "__main__":
    unittest.main()
