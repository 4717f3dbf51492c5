"""The software version at which a stream may go on."""

from currantdyke.core import FailureKind
from currantdyke.forward.context import ForwardContext
from currantdyke.forward.exchange import DEFAULT_RETRY_SECONDS, Exchange

__all__ = ["find_version", "record_version"]

# A crashed engine is back after a few seconds; one that was replaced never is.
VERSION_RETRY_SECONDS = 2.0


async def find_version(exchange: Exchange, context: ForwardContext) -> str:
    """Return the version at which a stream that its caller takes up goes on.

    Raises
    ------
    RequestFailedError
        If the version is not known, or has no engine.
    """
    facts = exchange.facts
    version = await context.versions.find(facts.resumes, exchange.service)
    known = context.directory.endpoints.of_service(exchange.service).values()
    detail, retry_after = "", DEFAULT_RETRY_SECONDS
    if version is None:
        detail = "the version that began the stream is not known"
    elif all(engine.version != version for engine in known):
        detail = f"no engine of version {version!r} is left to go on with the stream"
        retry_after = VERSION_RETRY_SECONDS
    context.log.write(
        "stream_resumed",
        failure=bool(detail),
        request=facts.attempt_id,
        resumes=facts.resumes,
        version=version,
        refused=detail,
    )
    if version is None or detail:
        context.versions.refused += 1
        raise exchange.failure(FailureKind.NO_ENDPOINT, detail, retry_after=retry_after)
    return version


def record_version(exchange: Exchange, context: ForwardContext, version: str) -> None:
    """Record that an engine of a version begins a stream, or goes on with it.

    It is recorded under the attempt that brought the first event, which callers name.
    """
    if not exchange.route.may_repeat:
        return
    facts = exchange.facts
    first_attempt = facts.attempt_id
    if facts.last_event_id is not None and facts.resumes is not None:
        first_attempt = facts.resumes
    context.versions.record(first_attempt, exchange.service, version)
