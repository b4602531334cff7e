import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from lycheeslip_agent.permit import ZonePermit
from lycheeslip_common.wire.messages import Directive, Pong

PERMIT_MS = 100


def directive(revision=1, version=1, in_service=True):
    return Directive(revision, version, in_service, (), 1, 1)


@pytest.mark.parametrize(
    ("directives", "pongs", "now_ms", "reason"),
    [
        ([], [Pong(0, 1, 100)], 50, "no_directive"),
        ([directive()], [], 50, "no_permit"),
        ([directive()], [Pong(0, 1, 100)], 99, ""),
        ([directive()], [Pong(0, 1, 100)], 100, "no_permit"),
        ([directive()], [Pong(0, 1, 100), Pong(10, 1, 0)], 50, "no_permit"),
        ([directive()], [Pong(10, 1, 0), Pong(0, 1, 100)], 50, "no_permit"),
        ([directive()], [Pong(60, 1, 100)], 50, "no_permit"),
        ([directive()], [Pong(0, 2, 100)], 50, "directive_outdated"),
        ([directive(), directive(2, 2, False)], [Pong(0, 2, 100)], 50, "zone_out_of_service"),
        ([directive(2, 2, False), directive()], [Pong(0, 1, 100)], 50, "zone_out_of_service"),
        ([directive(1, 2, False), directive()], [Pong(0, 1, 100)], 50, "zone_out_of_service"),
        ([directive()], [Pong(0, 1, -5)], 50, "no_permit"),
    ],
)
def test_a_start_needs_a_current_directive_and_a_permit(directives, pongs, now_ms, reason):
    permit = ZonePermit()
    for item in directives:
        permit.on_directive(item)
    for item in pongs:
        permit.on_pong(item, 50)
    assert permit.refusal_reason(now_ms) == reason


class Permits(RuleBasedStateMachine):
    """Operators change the zone while directives and pongs are delayed, lost or repeated."""

    def __init__(self):
        super().__init__()
        self.permit = ZonePermit()
        self.now_ms = 0
        self.in_service = [True]
        self.out_since_ms = None
        self.in_flight = []

    @rule(in_service=st.booleans())
    def change_zone(self, in_service):
        self.in_service.append(in_service)
        if in_service:
            self.out_since_ms = None
        elif self.out_since_ms is None:
            self.out_since_ms = self.now_ms

    @rule()
    def send_directive(self):
        revision = len(self.in_service)
        self.in_flight.append(directive(revision, revision, self.in_service[-1]))

    @rule(delay_ms=st.integers(0, PERMIT_MS))
    def ping_and_pong(self, delay_ms):
        echo_ms = self.now_ms
        self.now_ms += delay_ms
        self.in_flight.append(Pong(echo_ms, len(self.in_service), PERMIT_MS))

    @rule(choice=st.integers(0, 1_000))
    def deliver(self, choice):
        if not self.in_flight:
            return
        message = self.in_flight[choice % len(self.in_flight)]
        if isinstance(message, Pong):
            self.permit.on_pong(message, self.now_ms)
        else:
            known = self.permit.directive
            self.permit.on_directive(message)
            assert known is None or self.permit.directive.config_revision >= known.config_revision

    @rule(ms=st.integers(1, PERMIT_MS))
    def pass_time(self, ms):
        self.now_ms += ms

    @invariant()
    def no_start_is_allowed_one_permit_after_the_zone_left_service(self):
        if self.permit.refusal_reason(self.now_ms) == "" and self.out_since_ms is not None:
            assert self.now_ms - self.out_since_ms < PERMIT_MS


Permits.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)
TestPermits = Permits.TestCase


@pytest.mark.parametrize(
    ("granted_ms", "interval_ms"),
    [(0, 800), (-5, 800), (300, 250), (2_400, 800), (7_500, 2_500), (60_000, 4_000)],
)
def test_longer_permits_are_renewed_less_often(granted_ms, interval_ms):
    permit = ZonePermit()
    permit.on_pong(Pong(0, 1, granted_ms), 1)
    assert permit.ping_interval_ms() == interval_ms
