"""Tag that the agent stores with a task at the backend server, to adopt it after a restart."""

from typing import NamedTuple

from lycheeslip_common.structure.fleet import Grant
from pydantic import TypeAdapter, ValidationError

__all__ = ["TaskTag", "decode_tag", "encode_tag"]


class TaskTag(NamedTuple):
    """A member's grant, its gang and the incarnation that loaded it."""

    grant: Grant
    incarnation: str
    lease_ms: int
    anchor_address: str
    worker_ids: tuple[str, ...]


_adapter = TypeAdapter(TaskTag)


def encode_tag(tag: TaskTag) -> str:
    """Return `tag` as JSON."""
    return _adapter.dump_json(tag).decode()


def decode_tag(text: str) -> TaskTag | None:
    """Return the tag in `text`, or None if it is not a valid tag of this version."""
    try:
        return _adapter.validate_json(text)
    except ValidationError:
        return None
