"""Outcomes of attempts that their owners have not yet confirmed as recorded."""

from dataclasses import dataclass

from lycheeslip_common.structure.jobs import AttemptRef
from lycheeslip_common.wire.messages import AttemptReport

from lycheeslip_agent.grants import MemberKey

__all__ = ["Outbox"]

FIRST_RESEND_MS = 2_000
LAST_RESEND_MS = 30_000


@dataclass(slots=True)
class _Pending:
    report: AttemptReport
    due_at_ms: int
    resend_ms: int


class Outbox:
    """Stores each outcome until it is recorded, and schedules its retransmission."""

    def __init__(self) -> None:
        """Create an empty outbox."""
        self._pending_by_key: dict[MemberKey, _Pending] = {}

    def __len__(self) -> int:
        """Return the number of unconfirmed outcomes."""
        return len(self._pending_by_key)

    def add(self, report: AttemptReport) -> None:
        """Store an outcome, due at once."""
        self._pending_by_key[_key(report.ref)] = _Pending(report, 0, FIRST_RESEND_MS)

    def confirm(self, ref: AttemptRef) -> MemberKey | None:
        """Remove a recorded outcome; return the key of its member 0, or None if it is unknown."""
        key = _key(ref)
        return key if self._pending_by_key.pop(key, None) is not None else None

    def resend(self, job_id: str = "", owner: str = "") -> None:
        """Make the outcomes of `job_id`, or all, due now; readdress them to `owner` if given."""
        for key, pending in self._pending_by_key.items():
            if job_id not in ("", key.job_id):
                continue
            pending.due_at_ms = 0
            if owner:
                pending.report = pending.report._replace(owner=owner)

    def take_due(self, now_ms: int) -> list[AttemptReport]:
        """Return the outcomes that are due, and double the delay until each is sent again."""
        due = [item for item in self._pending_by_key.values() if now_ms >= item.due_at_ms]
        for item in due:
            item.due_at_ms = now_ms + item.resend_ms
            item.resend_ms = min(LAST_RESEND_MS, item.resend_ms * 2)
        return [item.report for item in due]


def _key(ref: AttemptRef) -> MemberKey:
    return MemberKey(ref.job_id, ref.attempt, 0)
