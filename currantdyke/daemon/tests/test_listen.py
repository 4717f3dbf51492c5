import contextlib
import unittest
from unittest import mock

import anyio
import httpx

from currantdyke.daemon import listen, open_listener, serve_http

CHUNK = b"x" * 65_536
CHUNKS = 200


async def send_large_body(scope, receive, send):
    if scope["type"] != "http":
        return
    await send({"type": "http.response.start", "status": 200, "headers": []})
    for number in range(CHUNKS):
        more = number < CHUNKS - 1
        await send({"type": "http.response.body", "body": CHUNK, "more_body": more})


async def send_http_version(scope, receive, send):
    if scope["type"] != "http":
        return
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": scope["http_version"].encode()})


async def read_slowly(flush_seconds):
    stop = anyio.Event()
    listener = open_listener("127.0.0.1", 0)
    received = 0
    async with anyio.create_task_group() as tasks:

        async def serve():
            await serve_http(
                send_large_body, listener, stop, flush_seconds=lambda: flush_seconds
            )

        tasks.start_soon(serve)
        with contextlib.suppress(httpx.HTTPError):
            async with (
                httpx.AsyncClient() as client,
                client.stream("GET", listener.url) as response,
            ):
                async for chunk in response.aiter_bytes():
                    if not received:
                        stop.set()
                        await anyio.sleep(0.6)
                    received += len(chunk)
    return received


async def send_raw(text):
    stop = anyio.Event()
    listener = open_listener("127.0.0.1", 0)
    answer = b""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve_http, send_http_version, listener, stop)
        started = anyio.current_time()
        stream = await anyio.connect_tcp(listener.address, listener.port)
        async with stream:
            with contextlib.suppress(anyio.BrokenResourceError):
                await stream.send(text)
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                with anyio.fail_after(10):
                    while True:
                        answer += await stream.receive()
        seconds = anyio.current_time() - started
        stop.set()
    return answer, seconds


class TestServeHttp(unittest.TestCase):
    def test_slow_reader_receives_the_whole_response_within_flush_seconds(self):
        with mock.patch.object(listen, "CLOSE_TIMEOUT_SECONDS", 0.1):
            received = anyio.run(read_slowly, 5.0)
        self.assertEqual(received, CHUNKS * len(CHUNK))

    def test_reader_beyond_flush_seconds_does_not_delay_shutdown(self):
        with mock.patch.object(listen, "CLOSE_TIMEOUT_SECONDS", 0.1):
            received = anyio.run(read_slowly, 0.0)
        self.assertLess(received, CHUNKS * len(CHUNK))

    def test_connection_with_unfinished_headers_is_closed(self):
        with mock.patch.object(listen, "IDLE_TIMEOUT_SECONDS", 0.3):
            answer, seconds = anyio.run(send_raw, b"GET / HTTP/1.1\r\nhost: a\r\nx-")
        self.assertEqual(answer, b"")
        self.assertLess(seconds, 5)

    def test_oversized_headers_are_rejected(self):
        head = b"GET / HTTP/1.1\r\nhost: a\r\nx-long: " + b"x" * 100_000
        answer, seconds = anyio.run(send_raw, head)
        self.assertRegex(answer, rb"^HTTP/1.1 4\d\d ")
        self.assertLess(seconds, 5)

    def test_http_1_and_http_2_are_supported(self):
        async def scenario():
            stop = anyio.Event()
            listener = open_listener("127.0.0.1", 0)
            seen = []
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(serve_http, send_http_version, listener, stop)
                for versions in ({}, {"http1": False, "http2": True}):
                    async with httpx.AsyncClient(**versions) as client:
                        response = await client.get(listener.url)
                        seen.append((response.text, response.http_version))
                stop.set()
            return seen

        self.assertEqual(anyio.run(scenario), [("1.1", "HTTP/1.1"), ("2", "HTTP/2")])


if __name__ == "__main__":
    unittest.main()
