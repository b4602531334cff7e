"""The possible outcomes of a job; each states whether the job may have run."""

from dataclasses import dataclass
from typing import ClassVar

from lycheeslip_common.structure.jobs import StoredVerdict

__all__ = [
    "Answered",
    "Cancelled",
    "CannotRun",
    "Failed",
    "Refused",
    "Unknown",
    "Verdict",
    "from_stored",
    "to_stored",
]


@dataclass(frozen=True, slots=True)
class Answered:
    """The job ran and its complete answer is available."""

    tag: ClassVar[str] = "answered"
    may_have_run: ClassVar[bool] = True
    reason: str = "completed"
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Refused:
    """The job did not and will not run; `retry_at_ms` is wall-clock time (0: don't retry)."""

    tag: ClassVar[str] = "refused"
    may_have_run: ClassVar[bool] = False
    reason: str
    detail: str = ""
    retry_at_ms: int = 0


@dataclass(frozen=True, slots=True)
class Failed:
    """The job ran and failed."""

    tag: ClassVar[str] = "failed"
    may_have_run: ClassVar[bool] = True
    reason: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Unknown:
    """The job may have run; its outcome can't be determined."""

    tag: ClassVar[str] = "unknown"
    may_have_run: ClassVar[bool] = True
    reason: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class CannotRun:
    """No declared hardware fits the job, or it failed on several healthy workers."""

    tag: ClassVar[str] = "cannot_run"
    reason: str
    may_have_run: bool
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The caller cancelled the job, before or after its start."""

    tag: ClassVar[str] = "cancelled"
    may_have_run: bool
    reason: str = "cancelled_by_caller"
    detail: str = ""


Verdict = Answered | Refused | Failed | Unknown | CannotRun | Cancelled


def to_stored(verdict: Verdict) -> StoredVerdict:
    """Return the stored representation of `verdict`."""
    return StoredVerdict(
        tag=verdict.tag,
        reason=verdict.reason,
        may_have_run=verdict.may_have_run,
        detail=verdict.detail,
        retry_at_ms=verdict.retry_at_ms if isinstance(verdict, Refused) else 0,
    )


def from_stored(stored: StoredVerdict) -> Verdict:
    """Return the verdict that `stored` represents; raises ValueError for an unknown tag."""
    reason, detail = stored["reason"], stored["detail"]
    match stored["tag"]:
        case "answered":
            return Answered(reason, detail)
        case "refused":
            return Refused(reason, detail, stored["retry_at_ms"])
        case "failed":
            return Failed(reason, detail)
        case "unknown":
            return Unknown(reason, detail)
        case "cannot_run":
            return CannotRun(reason, stored["may_have_run"], detail)
        case "cancelled":
            return Cancelled(stored["may_have_run"], reason, detail)
        case tag:
            raise ValueError(f"unknown verdict tag {tag!r}")
