"""Permit to start tasks in this agent's zone, which expires unless it is renewed."""

from lycheeslip_common.wire.messages import Directive, Pong

__all__ = ["ZonePermit"]

PINGS_PER_PERMIT = 3
DEFAULT_PING_INTERVAL_MS = 800
MIN_PING_INTERVAL_MS = 250
MAX_PING_INTERVAL_MS = 4_000


class ZonePermit:
    """Holds the newest directive and the deadline up to which it is known to be current."""

    def __init__(self) -> None:
        """Create the state without a directive and without a permit."""
        self.directive: Directive | None = None
        self.deadline_ms = 0
        self.config_revision = 0
        self._granted_ms = 0
        self._newest_echo_ms = -1

    def on_directive(self, directive: Directive) -> bool:
        """Adopt a directive unless a newer one is known; return whether it was adopted."""
        if self.directive is not None:
            known = (self.directive.config_revision, self.directive.version)
            if (directive.config_revision, directive.version) < known:
                return False
        self.directive = directive
        return True

    def on_pong(self, pong: Pong, now_ms: int) -> bool:
        """Adopt a pong's permit; return False if it is out of order or echoes a future time."""
        if pong.echo_ms > now_ms or pong.echo_ms < self._newest_echo_ms:
            return False
        self._newest_echo_ms = pong.echo_ms
        self._granted_ms = max(0, pong.permit_remaining_ms)
        self.deadline_ms = pong.echo_ms + self._granted_ms
        self.config_revision = max(self.config_revision, pong.config_revision)
        return True

    def ping_interval_ms(self) -> int:
        """Return the interval between pings, each of which renews the permit.

        Three pings per permit tolerate two lost answers. Entries of a large fleet grant longer
        permits and so receive fewer pings.
        """
        if not self._granted_ms:
            return DEFAULT_PING_INTERVAL_MS
        interval_ms = self._granted_ms // PINGS_PER_PERMIT
        return max(MIN_PING_INTERVAL_MS, min(MAX_PING_INTERVAL_MS, interval_ms))

    def refusal_reason(self, now_ms: int) -> str:
        """Return why no task may start now, or "" if one may until `deadline_ms`."""
        if self.directive is None:
            return "no_directive"
        if self.config_revision > self.directive.config_revision:
            return "directive_outdated"
        if not self.directive.zone_in_service:
            return "zone_out_of_service"
        if now_ms >= self.deadline_ms:
            return "no_permit"
        return ""
