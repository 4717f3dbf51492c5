import asyncio
import contextlib
import pathlib
import signal
import tempfile
import time
import unittest

import httpx
import httpx_sse
import msgspec
import yaml

from currantdyke.cli.demo import SERVICE_KINDS, WORKSPACE_KEY, demo_bundle
from currantdyke.testing.processes import start_daemon, start_endpoints

STREAMS = 200
TOKENS = 10
SLOW_TOKEN_SECONDS = 1.0
FAST_TOKEN_SECONDS = 0.3
MAX_SHUTDOWN_SECONDS = 20.0
TEST_TIMEOUT_SECONDS = 40.0
CONDITION_TIMEOUT_SECONDS = 15.0
NOTES_PATH = "/v1/pipelines/tasting-notes"
DRAFT_PATH = "/v1/pipelines/draft"
HEADERS = {
    "authorization": f"Bearer {WORKSPACE_KEY}",
    "accept": "text/event-stream",
    "x-deadline-seconds": "60",
}


def build_endpoints():
    return [
        {"name": f"{name}-1", "tokens": TOKENS, "token_seconds": SLOW_TOKEN_SECONDS}
        for name in SERVICE_KINDS
    ]


def build_bundle(urls):
    bundle = yaml.safe_load(demo_bundle(urls))
    for service in bundle["services"].values():
        for endpoint in service["endpoints"]:
            endpoint["slots"] = 2 * STREAMS
    stages = [{"name": "generate", "service": "generator"}]
    bundle["pipelines"]["draft"] = {"stages": stages}
    return yaml.safe_dump(bundle)


@contextlib.contextmanager
def running_daemon(stub_urls, **overrides):
    """Run a daemon with a bundle file; yield the daemon and the file."""
    urls = {name: stub_urls["endpoints"][f"{name}-1"] for name in SERVICE_KINDS}
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder, "bundle.yaml")
        file.write_text(build_bundle(urls))
        settings = {
            "name": "entry-1",
            "availability_zone": "jos-a",
            "bundle_file": str(file),
        }
        with start_daemon(settings | overrides) as daemon:
            run_with_timeout(wait_for_ready_status(daemon, 200))
            yield daemon, file


def run_with_timeout(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, TEST_TIMEOUT_SECONDS))


async def wait_for_ready_status(daemon, status):
    async with httpx.AsyncClient() as client:
        await poll_ready_status(client, daemon, status)


async def poll_ready_status(client, daemon, status):
    async with asyncio.timeout(CONDITION_TIMEOUT_SECONDS):
        while (await client.get(daemon.urls["operators"] + "/ready")).status_code != (
            status
        ):
            await asyncio.sleep(0.05)


async def read_stream(client, method, url, first_token=None, max_events=None):
    names, texts, last_data = [], [], {}
    body = {"input": "flight 12"} if method == "POST" else None
    async with httpx_sse.aconnect_sse(
        client, method, url, json=body, headers=dict(HEADERS)
    ) as source:
        async for event in source.aiter_sse():
            if event.event == "error":
                raise AssertionError(event.data)
            last_data = msgspec.json.decode(event.data)
            names.append(event.event)
            if event.event == "token":
                texts.append(last_data["text"])
                if first_token is not None:
                    first_token.set()
            if max_events is not None and len(names) >= max_events:
                break
    return source.response.headers["x-request-id"], names, texts, last_data


async def set_token_interval(client, stub_urls, seconds):
    url = stub_urls["endpoints"]["generator-1"] + "/pace"
    await client.post(url, json={"token_seconds": seconds})


async def read_streams_during_shutdown(stub_urls, daemon):
    url = daemon.urls["callers"] + DRAFT_PATH
    limits = httpx.Limits(max_connections=None)
    async with (
        httpx.AsyncClient(timeout=60, limits=limits) as client,
        asyncio.TaskGroup() as tasks,
    ):
        first_tokens = [asyncio.Event() for _ in range(STREAMS)]
        streams = [
            tasks.create_task(read_stream(client, "POST", url, event))
            for event in first_tokens
        ]
        for event in first_tokens:
            await event.wait()
        in_flight = sum(not stream.done() for stream in streams)
        daemon.terminate()
        terminated_at = time.monotonic()
        await poll_ready_status(client, daemon, 503)
        # Further signals change nothing.
        for number in (signal.SIGHUP, signal.SIGTERM):
            daemon.popen.send_signal(number)
        late_stream = tasks.create_task(read_stream(client, "POST", url))
        await set_token_interval(client, stub_urls, FAST_TOKEN_SECONDS)
    ended = [stream.result() for stream in streams]
    return in_flight, [*ended, late_stream.result()], terminated_at


class TestProcesses(unittest.TestCase):
    def test_shutdown_completes_all_of_200_streams(self):
        with start_endpoints(build_endpoints()) as stand_ins:
            stub_urls = stand_ins.urls
            with running_daemon(stub_urls, leave_seconds=2.0) as (daemon, _):
                in_flight, ended, terminated_at = run_with_timeout(
                    read_streams_during_shutdown(stub_urls, daemon)
                )
                code = daemon.wait()
                seconds = time.monotonic() - terminated_at
        self.assertEqual(code, 0, "".join(daemon.lines))
        self.assertLess(seconds, MAX_SHUTDOWN_SECONDS)
        self.assertLess(len(daemon.lines), 10, "".join(daemon.lines))
        self.assertEqual(in_flight, STREAMS)
        self.assertEqual(len({request_id for request_id, *_ in ended}), STREAMS + 1)
        for request_id, names, texts, last_data in ended:
            expected = [f"{request_id}:{index} " for index in range(TOKENS)]
            self.assertEqual(texts, expected)
            self.assertEqual(names[-1], "answer")
            self.assertEqual(last_data["output"]["text"], "".join(expected))

    def test_second_interrupt_ends_the_process_at_once(self):
        with (
            start_endpoints(build_endpoints()) as stand_ins,
            running_daemon(stand_ins.urls, leave_seconds=TEST_TIMEOUT_SECONDS) as (
                daemon,
                _,
            ),
        ):
            daemon.popen.send_signal(signal.SIGINT)
            run_with_timeout(wait_for_ready_status(daemon, 503))
            daemon.popen.send_signal(signal.SIGINT)
            started = time.monotonic()
            code = daemon.wait()
            seconds = time.monotonic() - started
        self.assertNotEqual(code, 0)
        self.assertLess(seconds, MAX_SHUTDOWN_SECONDS)

    def test_caller_that_disconnects_resumes_its_stream(self):
        with (
            start_endpoints(build_endpoints()) as stand_ins,
            running_daemon(stand_ins.urls, leave_seconds=0.0) as (daemon, _),
        ):
            first_part, second_part = run_with_timeout(
                self.disconnect_and_resume(stand_ins.urls, daemon)
            )
            daemon.terminate()
            self.assertEqual(daemon.wait(), 0, "".join(daemon.lines))
        request_id, _, texts, _ = first_part
        _, names, more_texts, last_data = second_part
        expected = [f"{request_id}:{index} " for index in range(TOKENS)]
        self.assertEqual(texts + more_texts, expected)
        self.assertEqual(last_data["output"]["text"], "".join(expected))
        self.assertEqual(names[-1], "answer")

    async def disconnect_and_resume(self, stub_urls, daemon):
        async with httpx.AsyncClient(timeout=60) as client:
            await set_token_interval(client, stub_urls, FAST_TOKEN_SECONDS)
            url = daemon.urls["callers"] + NOTES_PATH
            first_part = await read_stream(client, "POST", url, max_events=5)
            url = f"{daemon.urls['callers']}/v1/requests/{first_part[0]}?from=5"
            return first_part, await read_stream(client, "GET", url)

    def test_sighup_loads_a_valid_bundle_and_rejects_an_invalid_one(self):
        with (
            start_endpoints(build_endpoints()) as stand_ins,
            running_daemon(stand_ins.urls, leave_seconds=0.0) as (daemon, file),
        ):
            good = file.read_text()
            file.write_text("services: [")
            daemon.popen.send_signal(signal.SIGHUP)
            broken = run_with_timeout(
                self.wait_for_configuration(daemon, lambda c: c["problems"])
            )
            file.write_text(good + "# a later version\n")
            daemon.popen.send_signal(signal.SIGHUP)
            corrected = run_with_timeout(
                self.wait_for_configuration(daemon, lambda c: c["version"] == 2)
            )
        self.assertEqual(broken["version"], 1)
        self.assertEqual(corrected["problems"], [])

    async def wait_for_configuration(self, daemon, condition):
        url = daemon.urls["operators"] + "/configuration"
        async with (
            httpx.AsyncClient() as client,
            asyncio.timeout(CONDITION_TIMEOUT_SECONDS),
        ):
            while not condition(state := (await client.get(url)).json()):
                await asyncio.sleep(0.05)
        return state


if __name__ == "__main__":
    unittest.main()
