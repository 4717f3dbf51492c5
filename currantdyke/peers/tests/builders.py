from currantdyke.events import HybridTime
from currantdyke.peers import Fact, Member, MemberStatus, Message, MessageKind


def build_member(**changes):
    values = {
        "name": "entry-1",
        "counter": 1_764_000_000_000_000,
        "status": MemberStatus.ALIVE,
        "incarnation": "ab12cd34ef56",
        "address": "10.0.0.1:7946",
        "availability_zone": "jos-a",
        "region": "ng-west",
        "url": "http://10.0.0.1:8080",
    }
    return Member(**(values | changes))


def build_fact(**changes):
    values = {
        "key": "leaving/encoder-1",
        "value": "10.0.0.9:1",
        "time": HybridTime(wall=5, count=2),
        "origin": "entry-1",
        "remaining_seconds": 30.0,
    }
    return Fact(**(values | changes))


def build_message(**changes):
    values = {
        "kind": MessageKind.PING,
        "sender": "entry-1",
        "incarnation": "ab12cd34ef56",
        "number": 7,
    }
    return Message(**(values | changes))
