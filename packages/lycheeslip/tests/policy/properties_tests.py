from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from lycheeslip.config.model import QuietHours
from lycheeslip.policy.homes import assign_homes, homes_satisfy_guarantee
from lycheeslip.policy.model import Act, Place
from lycheeslip.policy.plan import plan
from lycheeslip_common.wire.messages import ControlAction

from .builders import (
    NOW_MS,
    Account,
    Zone,
    config,
    fleet,
    running,
    shape,
    view,
    waiting,
)

ACCOUNTS = [
    Account("a", shape(2, 8, "same_rack")),
    Account("b", shape(1, 8)),
    Account("c", shape(4, 1, "same_worker"), weight=2.0),
    Account("d"),
]
ALL_DAY = QuietHours(0, 0, max_busy_per_rack=9, urgent_exempt=False)


class FleetMachine(RuleBasedStateMachine):
    """Applies the planned actions to a simulated fleet, as agents would."""

    zones = tuple(Zone(z) for z in "abcd")

    @initialize()
    def start(self):
        self.now_ms = NOW_MS
        self.config = config(self.zones, ACCOUNTS)
        self.workers = fleet()
        self.homes = assign_homes(self.config, self.workers, {})
        self.waiting = {}
        self.running = {}
        self.count = 0

    def build_view(self, waiting_jobs=None):
        jobs = self.waiting.values() if waiting_jobs is None else waiting_jobs
        return view(
            self.workers,
            jobs,
            list(self.running.values()),
            self.config,
            self.homes,
            now_ms=self.now_ms,
        )

    @rule(
        account=st.sampled_from("abcd"),
        kind=st.sampled_from(["urgent", "deferrable", "bulk"]),
        repeatable=st.booleans(),
        members=st.sampled_from([1, 1, 1, 2, 3]),
        accelerators=st.sampled_from([0, 1, 1, 2, 4, 8]),
        adjacency=st.sampled_from(["any", "same_worker", "same_rack"]),
        processors=st.sampled_from([1, 8, 30]),
        run_ms=st.integers(0, 5000),
        count=st.integers(1, 12),
    )
    def submit(self, count, run_ms, **of_spec):
        for _ in range(count):
            self.count += 1
            job = waiting(f"j{self.count}", run_ms=run_ms, **of_spec)
            self.waiting[job.job_id] = job._replace(waiting_since_ms=self.now_ms)

    @rule(millis=st.integers(1, 3000))
    def tick(self, millis):
        self.now_ms += millis
        for job_id, job in list(self.running.items()):
            if job.stopping or job.expected_end_at_ms <= self.now_ms:
                del self.running[job_id]

    @rule()
    def step(self):
        fleet_view = self.build_view()
        actions = plan(fleet_view)
        assert actions == plan(fleet_view)
        for action in actions:
            self.apply(action)

    def apply(self, action):
        if isinstance(action, Place):
            job = self.waiting.pop(action.job_id)
            started = running(job.job_id, action.placement)
            self.running[job.job_id] = started._replace(
                spec=job.spec,
                started_at_ms=self.now_ms,
                expected_end_at_ms=self.now_ms + job.expected_run_ms + 1,
            )
            self.check_placement(job, action.placement)
        elif isinstance(action, Act) and action.action is ControlAction.CHECKPOINT:
            job = self.running[action.ref.job_id]
            assert job.spec.interruptible
            assert not job.stopping
            self.running[action.ref.job_id] = job._replace(stopping=True)

    def check_placement(self, job, placement):
        requested = job.spec.shape
        assert len(placement) == requested.members
        for member in placement:
            state = self.workers[member.worker_id]
            assert not state.leaving
            assert self.config.zones_by_id[state.info.zone].in_service
            assert len(set(member.accelerators)) == requested.accelerators
            if not job.spec.interruptible:
                homes = self.homes[member.worker_id]
                assert {homes[i] for i in member.accelerators} <= {"", job.spec.account}
        racks = {
            (self.workers[m.worker_id].info.zone, self.workers[m.worker_id].info.rack)
            for m in placement
        }
        if requested.adjacency == "same_rack":
            assert len(racks) == 1
        if requested.adjacency == "same_worker":
            assert len({m.worker_id for m in placement}) == 1

    @invariant()
    def nothing_is_allocated_twice(self):
        by_worker = {}
        for job in self.running.values():
            for member in job.placement:
                by_worker.setdefault(member.worker_id, []).append((member, job.spec.shape))
        for worker_id, members in by_worker.items():
            indices = [i for member, _ in members for i in member.accelerators]
            assert len(indices) == len(set(indices))
            info = self.workers[worker_id].info
            assert len(members) <= info.slots
            assert sum(requested.processors for _, requested in members) <= info.processors


class GuaranteeMachine(FleetMachine):
    @invariant()
    def every_guarantee_can_be_reclaimed(self):
        for account in ACCOUNTS[:3]:
            if any(job.spec.account == account.account_id for job in self.running.values()):
                continue
            probe = waiting("probe", kind="deferrable", account=account.account_id)
            probe = probe._replace(spec=probe.spec._replace(shape=account.guarantee))
            before = dict(self.running)
            for _ in range(2):
                actions = plan(self.build_view([probe]))
                done = any(isinstance(action, Place) for action in actions)
                for action in actions:
                    if isinstance(action, Act):
                        self.running.pop(action.ref.job_id, None)
                self.running = {k: j for k, j in self.running.items() if not j.stopping}
                if done:
                    break
            self.running = before
            assert done


class ChangeMachine(FleetMachine):
    @rule(zone=st.sampled_from("abcd"))
    def toggle_zone(self, zone):
        zones = dict(self.config.zones_by_id)
        zones[zone] = zones[zone]._replace(in_service=not zones[zone].in_service)
        self.config = self.config._replace(zones_by_id=zones)
        self.homes = assign_homes(self.config, self.workers, self.homes)

    @rule(number=st.integers(0, 9))
    def toggle_leaving(self, number):
        state = self.workers[f"w{number}"]
        self.workers[f"w{number}"] = state._replace(leaving=not state.leaving)
        self.homes = assign_homes(self.config, self.workers, self.homes)


class QuietHoursMachine(FleetMachine):
    zones = tuple(Zone(z, quiet_hours=(ALL_DAY,)) for z in "abcd")

    @invariant()
    def no_rack_exceeds_its_limit(self):
        busy = {}
        for job in self.running.values():
            for member in job.placement:
                info = self.workers[member.worker_id].info
                key = info.zone, info.rack
                busy[key] = busy.get(key, 0) + len(member.accelerators)
        assert max(busy.values(), default=0) <= ALL_DAY.max_busy_per_rack


STATE_MACHINE_SETTINGS = settings(
    derandomize=True, max_examples=25, stateful_step_count=20, deadline=None
)
TestGuarantees = GuaranteeMachine.TestCase
TestChanges = ChangeMachine.TestCase
TestQuiet = QuietHoursMachine.TestCase
TestGuarantees.settings = TestChanges.settings = TestQuiet.settings = STATE_MACHINE_SETTINGS


def test_guarantees_of_the_state_machine_have_homes():
    workers = fleet()
    homes = assign_homes(config([Zone(z) for z in "abcd"], ACCOUNTS), workers, {})
    for account in ACCOUNTS[:3]:
        assert homes_satisfy_guarantee(account.guarantee, account.account_id, homes, workers)
