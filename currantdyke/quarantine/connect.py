"""Check whether an endpoint accepts connections."""

import anyio
import httpx

__all__ = ["can_connect"]

CONNECT_TIMEOUT_SECONDS = 0.5


async def can_connect(url: str) -> bool | None:
    """Return whether a URL's port accepts connections; None after a time-out."""
    parsed = httpx.URL(url)
    port = parsed.port or (443 if parsed.scheme == "https" else 80)
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
            stream = await anyio.connect_tcp(parsed.host, port)
    except TimeoutError:
        return None
    except OSError:
        return False
    await stream.aclose()
    return True
