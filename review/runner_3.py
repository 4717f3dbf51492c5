"""Stand-in for a model runner, as a process of its own.

It speaks what the users' pages say of runners: slots and a queue, streams of events in
chunks, the header X-Expect-Instance, /api/report with `born`, and the header
Last-Event-Id. It may be cold for some time after its start, and ends at once, like a
crashed process, if it then gets far more requests a second than it tolerates.
"""

import argparse
import asyncio
import contextlib
import json
import os
import time

HEAD_BYTES = 65_536


class Runner:
    """One lifetime of a runner."""

    def __init__(self, options: argparse.Namespace):
        self.options = options
        self.slots = asyncio.Semaphore(options.slots)
        self.running = 0
        self.waiting = 0
        self.started_at = time.monotonic()
        self.arrivals: list[float] = []

    @property
    def cold_ms(self) -> int:
        """For how long this lifetime is still cold."""
        age_ms = (time.monotonic() - self.started_at) * 1_000
        return max(0, int(self.options.cold_ms - age_ms))

    def count_arrival(self) -> None:
        """Count a request; end if there are too many a second for a cold runner."""
        now = time.monotonic()
        self.arrivals = [at for at in self.arrivals if at > now - 1.0] + [now]
        if self.cold_ms and len(self.arrivals) > self.options.cold_crash:
            self.record("crashed", running=self.running, waiting=self.waiting)
            os._exit(1)

    def record(self, event: str, **fields: object) -> None:
        """Append a line to the record; the clock is the same in all processes."""
        line = {"at": time.monotonic(), "event": event, "runner": self.options.instance}
        with open(self.options.record, "a") as file:
            file.write(json.dumps(line | fields) + "\n")

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one channel, one at a time."""
        peek = b""
        try:
            while True:
                head = peek + await reader.readuntil(b"\r\n\r\n")
                peek = b""
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines[1:-2])
                }
                await reader.readexactly(int(headers.get("content-length", "0")))
                answer = asyncio.create_task(
                    self.answer(method, target, headers, writer)
                )
                watch = asyncio.create_task(reader.read(1))
                await asyncio.wait({answer, watch}, return_when="FIRST_COMPLETED")
                if watch.done() and not watch.result():
                    answer.cancel()
                    await asyncio.wait({answer})
                    return
                await answer
                if watch.done():
                    peek = watch.result()
                else:
                    watch.cancel()
                    with contextlib.suppress(asyncio.CancelledError):
                        peek = await watch
                if headers.get("connection", "").lower() == "close":
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def answer(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one request."""
        options = self.options
        if target == "/api/report":
            document = {
                "stage": "unified",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "sequence": 1,
                "queued": self.waiting,
                "active": self.running,
                "kv_used": 0,
                "kv_total": 500_000,
                "handles": 0,
                "born": options.born,
            }
            await self.reply(writer, 200, {}, json.dumps(document).encode())
            return
        if target == "/healthz":
            health = {"X-Instance-Id": options.instance, "X-Cold-Ms": str(self.cold_ms)}
            await self.reply(writer, 200, health, b"")
            return
        attempt = headers.get("x-attempt-id", "")
        expected = headers.get("x-expect-instance", options.instance)
        if expected != options.instance:
            await self.reply(writer, 421, {"X-Instance-Id": options.instance}, b"")
            return
        first = int(headers.get("last-event-id", "0")) + 1
        self.record("arrived", id=attempt, first=first, cold_ms=self.cold_ms)
        self.count_arrival()
        if self.waiting >= options.queue and self.slots.locked():
            await self.reply(
                writer, 503, {"X-Attempt-Id": attempt, "X-Not-Executed": "1"}, b""
            )
            return
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            await asyncio.sleep(options.start_ms / 1_000)
            await self.stream(attempt, first, writer)
        finally:
            self.running -= 1
            self.slots.release()

    async def stream(
        self, attempt: str, first: int, writer: asyncio.StreamWriter
    ) -> None:
        """Write the events from a number on."""
        options = self.options
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"X-Attempt-Id: %s\r\nX-Server-Signature: signed.%s\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
            % (attempt.encode(), options.instance.encode())
        )
        self.record("began", id=attempt, version=options.version)
        for number in range(first, options.events + 1):
            event = b"id: %d\ndata: %d %s\n\n" % (
                number,
                number,
                options.version.encode(),
            )
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(options.event_ms / 1_000)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def reply(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        """Write a whole answer."""
        fields = headers | {"Content-Length": str(len(body))}
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"HTTP/1.1 {status} Status\r\n{lines}\r\n".encode() + body)
        await writer.drain()


async def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    parser.add_argument("--instance", required=True)
    parser.add_argument("--record", required=True)
    parser.add_argument("--version", default="v1")
    parser.add_argument("--born", type=int, required=True)
    parser.add_argument("--slots", type=int, default=64)
    parser.add_argument("--queue", type=int, default=134)
    parser.add_argument("--events", type=int, default=8)
    parser.add_argument("--event-ms", type=float, default=200)
    parser.add_argument("--start-ms", type=float, default=50)
    parser.add_argument("--cold-ms", type=int, default=0)
    parser.add_argument("--cold-crash", type=int, default=0)
    runner = Runner(parser.parse_args())
    host, _, port = runner.options.address.rpartition(":")
    server = await asyncio.start_server(
        runner.serve, host, int(port), limit=HEAD_BYTES, reuse_address=True
    )
    runner.record("started", born=runner.options.born, version=runner.options.version)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
