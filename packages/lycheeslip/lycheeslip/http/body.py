"""Reads a request's body before any handler sees it: what can't be read has not run."""

from aiohttp import ClientPayloadError, web
from aiohttp.http_exceptions import HttpProcessingError

__all__ = ["UnreadableBodyError", "read_body"]


class UnreadableBodyError(ValueError):
    """A body that is malformed, can't be decoded or ended early; `status` says which."""

    def __init__(self, status: int, reason: str) -> None:
        """Answer with `status` and the problem `reason`."""
        super().__init__(reason)
        self.status = status
        self.reason = reason


async def read_body(request: web.BaseRequest) -> bytes:
    """Return the whole decoded body, which later reads share; raises UnreadableBodyError."""
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
