"""Build daemons and their links for tests."""

import os

from currantdyke.decisionlog import DecisionLog
from currantdyke.directory import Directory
from currantdyke.links import Peers, Unknown
from currantdyke.platform.records import DaemonEntry

__all__ = ["PORT", "build_entry", "build_peers"]

PORT = 17_741


def build_entry(number, incarnation="first"):
    return DaemonEntry(
        name=f"entry-{number}",
        ip=f"127.77.{os.getpid() % 250}.{number}",
        availability_zone="a",
        incarnation=incarnation,
    )


async def answer(link, content):
    return Unknown()


def build_peers(number, known=(), handle_request=answer):
    log = DecisionLog(daemon="d", descriptor=os.open(os.devnull, os.O_WRONLY))
    directory = Directory(log=log)
    directory.daemons = {entry.name: entry for entry in known}
    return Peers(
        own=build_entry(number),
        port=PORT,
        seed_ips=(),
        directory=directory,
        log=log,
        handle_request=handle_request,
        handle_notification=lambda link, content: None,
        on_link_lost=lambda link: None,
    )
