"""Measure one daemon: ``python -m currantdyke.benches.serve``."""

import json
import pathlib
import time

import click
import numpy as np
import psutil

from currantdyke.benches.serve.callers import StreamTimes, run_callers
from currantdyke.benches.serve.processes import (
    make_bench_bundle,
    run_daemon,
    run_standins,
    spawn_process,
)

STANDIN_PROCESSES = 3
CALLER_PROCESSES = 3
TARGET_REQUESTS_PER_SECOND = 68
TARGET_TOKENS_PER_SECOND = 13_500
MEBIBYTE = 1024 * 1024


def measure(
    url: str, body: dict, streams: int, seconds: float, pid: int | None
) -> dict[str, float]:
    """Keep streams open and return the metrics of the run.

    Parameters
    ----------
    url : str
        URL that requests are sent to.
    body : dict
        JSON body of each request.
    streams : int
        Number of concurrent streams.
    seconds : float
        Seconds during which new requests are started.
    pid : int or None
        Process whose CPU time and memory are measured.
    """
    shares = [streams // CALLER_PROCESSES] * CALLER_PROCESSES
    shares[0] += streams - sum(shares)
    callers = [
        spawn_process(run_callers, url, body, share, seconds)
        for share in shares
        if share
    ]
    monitored = psutil.Process(pid) if pid else None
    before = monitored.cpu_times() if monitored else None
    resident_before = monitored.memory_info().rss if monitored else 0
    started = time.monotonic()
    for _, pipe, _ in callers:
        pipe.send("go")
    time.sleep(seconds * 0.8)
    resident = monitored.memory_info().rss if monitored else 0
    reports = [pipe.recv() for _, pipe, _ in callers]
    elapsed = time.monotonic() - started
    for process, _, _ in callers:
        process.join()
    row = summarise(reports, elapsed)
    if monitored and before:
        after = monitored.cpu_times()
        row["cpu_s"] = after.user + after.system - before.user - before.system
        row["cores"] = row["cpu_s"] / elapsed
        row["cpu_us_per_token"] = row["cpu_s"] / max(1.0, row["tokens"]) * 1e6
        row["kib_per_stream"] = (resident - resident_before) / streams / 1024
        row["resident_mib"] = resident / MEBIBYTE
    return row


def summarise(reports: list[StreamTimes], elapsed: float) -> dict[str, float]:
    """Aggregate the reports of all caller processes into one row."""
    first = [value for times in reports for value in times.first_token]
    gaps = [value for times in reports for value in times.gaps]
    return {
        "seconds": elapsed,
        "whole": sum(times.completed for times in reports),
        "broken": sum(times.failed for times in reports),
        "tokens": sum(times.tokens for times in reports),
        "requests_per_s": sum(times.completed for times in reports) / elapsed,
        "tokens_per_s": sum(times.tokens for times in reports) / elapsed,
        "events_per_s": sum(times.events for times in reports) / elapsed,
        "first_token_p50_ms": percentile(first, 50),
        "first_token_p95_ms": percentile(first, 95),
        "first_token_p99_ms": percentile(first, 99),
        "gap_p95_ms": percentile(gaps, 95),
    }


def percentile(values: list[float], percent: float) -> float:
    """Return a percentile of seconds in milliseconds, or 0 without values."""
    return float(np.percentile(values, percent)) * 1000 if values else 0.0


@click.command()
@click.option("--streams", default="1,50,300,1000", show_default=True)
@click.option("--tokens", default=100, show_default=True)
@click.option("--token-seconds", default=0.02, show_default=True)
@click.option("--stage-seconds", default=0.02, show_default=True)
@click.option("--seconds", default=8.0, show_default=True)
@click.option("--output", type=click.Path(), default=None)
def main(
    streams: str,
    tokens: int,
    token_seconds: float,
    stage_seconds: float,
    seconds: float,
    output: str | None,
) -> None:
    """Measure one daemon, and direct calls to the stand-in engine for comparison."""
    standins = [
        spawn_process(run_standins, tokens, stage_seconds, token_seconds)
        for _ in range(STANDIN_PROCESSES)
    ]
    urls = [found for _, _, found in standins]
    rows = []
    for count in map(int, streams.split(",")):
        direct_body = {"stream": True, "max_tokens": tokens}
        direct_url = urls[0]["generate"] + "/v1/completions"
        direct = measure(direct_url, direct_body, min(count, 50), seconds / 2, None)
        daemon, pipe, url = spawn_process(run_daemon, make_bench_bundle(urls))
        row = measure(
            f"{url}/v1/pipelines/notes", {"input": 1}, count, seconds, daemon.pid
        )
        pipe.send("stop")
        daemon.join()
        standins_ms = (4 * stage_seconds) * 1000
        row["streams"] = count
        row["added_p50_ms"] = row["first_token_p50_ms"] - standins_ms
        row["added_p95_ms"] = row["first_token_p95_ms"] - standins_ms
        row["direct_first_token_p50_ms"] = direct["first_token_p50_ms"]
        row["direct_first_token_p99_ms"] = direct["first_token_p99_ms"]
        rows.append(row)
        click.echo(json.dumps({k: round(v, 2) for k, v in row.items()}))
    for process, pipe, _ in standins:
        pipe.send("stop")
        process.join()
    print_table(rows)
    if output:
        pathlib.Path(output).write_text(json.dumps(rows, indent=1) + "\n")


def print_table(rows: list[dict[str, float]]) -> None:
    """Print the summary as a table."""
    names = (
        "streams",
        "requests_per_s",
        "tokens_per_s",
        "events_per_s",
        "cores",
        "cpu_us_per_token",
        "added_p50_ms",
        "added_p95_ms",
        "gap_p95_ms",
        "kib_per_stream",
        "resident_mib",
        "broken",
    )
    click.echo(" ".join(f"{name:>15}" for name in names))
    for row in rows:
        click.echo(" ".join(f"{row[name]:>15.1f}" for name in names))
    click.echo(
        f"target: {TARGET_REQUESTS_PER_SECOND} requests/s with "
        f"{TARGET_TOKENS_PER_SECOND} tokens/s under one core, "
        "added first-token time under 10 ms at the 95th percentile"
    )


if __name__ == "__main__":
    main()
