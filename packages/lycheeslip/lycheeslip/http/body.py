"""Reads request bodies before the handler runs, so that an unreadable request has no effect."""

from aiohttp import ClientPayloadError, web
from aiohttp.http_exceptions import HttpProcessingError

__all__ = ["UnreadableBodyError", "read_body"]


class UnreadableBodyError(ValueError):
    """The body is too large, malformed, undecodable or truncated; `status` tells which."""

    def __init__(self, status: int, reason: str) -> None:
        """Store the HTTP `status` and the problem `reason` of the response."""
        super().__init__(reason)
        self.status = status
        self.reason = reason


async def read_body(request: web.BaseRequest) -> bytes:
    """Return the decoded body, cached for later reads; raises UnreadableBodyError."""
    try:
        return await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        raise UnreadableBodyError(413, "body_too_large") from error
    except (
        web.RequestPayloadError,
        ClientPayloadError,
        HttpProcessingError,
        ConnectionError,
        ValueError,
    ) as error:
        raise UnreadableBodyError(400, "unreadable_body") from error
