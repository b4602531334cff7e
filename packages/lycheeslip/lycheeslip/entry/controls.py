"""Sends control messages to the members of an attempt."""

from lycheeslip_common.structure.jobs import AttemptRef, JobRecord
from lycheeslip_common.wire.messages import Control, ControlAction

from lycheeslip.entry.router import Router

__all__ = ["attempt_ref", "control_members"]


def attempt_ref(record: JobRecord) -> AttemptRef:
    """Return the reference of a job's current attempt."""
    return AttemptRef(record["job_id"], record["epoch"], record["attempt"])


async def control_members(
    router: Router, record: JobRecord, action: ControlAction, grace_ms: int, reason: str
) -> None:
    """Send `action` to every member of the current attempt; `grace_ms` is its time to stop."""
    for member, place in enumerate(record["placement"]):
        control = Control(attempt_ref(record), member, action, grace_ms, reason)
        await router.to_worker(place.worker_id, control)
