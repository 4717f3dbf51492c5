from currantdyke.standins import stub_endpoint_app

CRASHING_INPUT = "the flight that crashes"


def crashing_app(fleet, name, crashes):
    """Return an endpoint's application that crashes on ``CRASHING_INPUT``."""
    standin = fleet.standins[name]
    inner = stub_endpoint_app(standin)

    async def handle(scope, receive, send):
        body = await receive()
        if CRASHING_INPUT.encode() in body["body"]:
            crashes.append(name)
            fleet.network.kill(f"{name}:1")
            raise ConnectionResetError("the process died")

        async def replay():
            nonlocal body
            if body is not None:
                found, body = body, None
                return found
            return await receive()

        await inner(scope, replay, send)

    return handle


def make_crashing(fleet, service, crashes):
    """Let each endpoint of a service crash on ``CRASHING_INPUT``."""
    for name in fleet.standins:
        if name.rpartition("-")[0] == service:
            fleet.network.attach(f"{name}:1", crashing_app(fleet, name, crashes))


def restart(fleet, name, crashes):
    """Restart a crashed endpoint."""
    fleet.network.attach(f"{name}:1", crashing_app(fleet, name, crashes))
