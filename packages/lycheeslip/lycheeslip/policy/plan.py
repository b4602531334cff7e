"""One planning round: computes the actions for a view of the fleet."""

from collections.abc import Hashable

from lycheeslip.config.model import FleetConfig
from lycheeslip.policy.demand import Demand, demand_of, is_large
from lycheeslip.policy.evacuate import evacuate
from lycheeslip.policy.explain import explain_wait
from lycheeslip.policy.feasibility import misfit_reason
from lycheeslip.policy.model import Action, FleetView, Hold, WaitingJob
from lycheeslip.policy.order import QueuedJob, Tier, build_queue
from lycheeslip.policy.placement import find_placement
from lycheeslip.policy.planning_round import PlanningRound
from lycheeslip.policy.quiet import strictest_rule
from lycheeslip.policy.quiet_limits import enforce_quiet_hours
from lycheeslip.policy.reclaim import reclaim
from lycheeslip.policy.reservation import reserve_for_gang

__all__ = ["plan"]

MAX_RESERVATIONS = 1
MAX_UNPLACEABLE_GANGS = 8
MAX_PLACEMENTS_PER_ROUND = 64
MIN_GANG_WAIT_MS = 1_000
DEFAULT_EXPECTED_RUN_MS = 3_600_000


def plan(view: FleetView) -> list[Action]:
    """Return the actions to take now for the waiting and running jobs of `view`."""
    round_ = _plan_round(view)
    return [*round_.actions, *map(Hold, round_.reservations)]


def _plan_round(view: FleetView) -> PlanningRound:
    round_ = PlanningRound(view)
    evacuate(round_)
    enforce_quiet_hours(round_)
    queue = build_queue(view, round_.used)
    guaranteed_accounts_waiting = {q.job.spec.account for q in queue if q.tier is Tier.GUARANTEED}
    for queued in queue:
        if queued.tier is Tier.URGENT_GUARANTEED:
            _schedule(round_, queued, frozenset())
    for queued in queue:
        if queued.tier is Tier.URGENT:
            _schedule(
                round_, queued, frozenset(guaranteed_accounts_waiting - {queued.job.spec.account})
            )
    unscheduled = [
        queued
        for queued in queue
        if queued.tier is Tier.GUARANTEED and not _schedule(round_, queued, frozenset())
    ]
    blocked_accounts = {queued.job.spec.account for queued in unscheduled}
    rest = [queued for queued in queue if queued.tier > Tier.GUARANTEED]
    scheduled = _schedule_oldest_gangs(round_, unscheduled + rest, blocked_accounts)
    for queued in rest:
        if queued.job.job_id not in scheduled:
            _schedule(round_, queued, frozenset(blocked_accounts - {queued.job.spec.account}))
    return round_


def _schedule(round_: PlanningRound, queued: QueuedJob, excluded_accounts: frozenset[str]) -> bool:
    """Place the job, reclaim accelerators for it or explain why it waits.

    Return whether it was placed or accelerators are being reclaimed for it.
    """
    job = queued.job
    demand = _demand(round_, queued, excluded_accounts)
    if _try_place(round_, job, demand):
        return True
    if queued.tier <= Tier.GUARANTEED and reclaim(round_, demand):
        round_.explain(job.job_id, "reclaiming", "borrowed accelerators are being reclaimed")
        return True
    explain_wait(round_, job, demand)
    return False


def _try_place(round_: PlanningRound, job: WaitingJob, demand: Demand) -> bool:
    signature = demand.signature()
    if signature in round_.failed_signatures or round_.placed >= MAX_PLACEMENTS_PER_ROUND:
        return False
    placement = find_placement(round_.capacity, demand)
    if placement is None:
        round_.failed_signatures.add(signature)
        return False
    round_.place(job.job_id, job.spec.account, placement)
    return True


def _schedule_oldest_gangs(
    round_: PlanningRound, queue: list[QueuedJob], blocked_accounts: set[str]
) -> set[str]:
    """Place one of the oldest gangs out of turn or reserve workers for it.

    Gangs are tried from the oldest on, until one is placed or a limit is reached. Gangs that
    wouldn't fit even on empty workers are skipped. Return the ids of the gangs handled.
    """
    gangs = [queued for queued in queue if is_large(queued.job.spec.shape)]
    gangs.sort(key=lambda queued: (queued.job.waiting_since_ms, queued.job.job_id))
    handled: set[str] = set()
    reservations = 0
    unplaceable: set[Hashable] = set()
    for queued in gangs:
        job = queued.job
        if reservations >= MAX_RESERVATIONS or len(unplaceable) >= MAX_UNPLACEABLE_GANGS:
            break
        if round_.view.now_ms - job.waiting_since_ms < MIN_GANG_WAIT_MS:
            break
        demand = _demand(round_, queued, frozenset(blocked_accounts - {job.spec.account}))
        if _try_place(round_, job, demand):
            handled.add(job.job_id)
            break
        if demand.signature() in unplaceable:
            continue
        if not reserve_for_gang(round_, job, demand):
            unplaceable.add(demand.signature())
        else:
            reservations += 1
            handled.add(job.job_id)
            if queued.tier is not Tier.GUARANTEED:
                explain_wait(round_, job, demand)
    return handled


def _demand(round_: PlanningRound, queued: QueuedJob, excluded_accounts: frozenset[str]) -> Demand:
    job = queued.job
    view = round_.view
    demand = demand_of(job, view.now_ms, queued.within_guarantee)._replace(
        excluded_home_accounts=excluded_accounts
    )
    if job.avoided_workers and _only_avoided_workers_fit(round_, job):
        demand = demand._replace(avoided_workers=frozenset())
    if not demand.interruptible:
        demand = demand._replace(quiet_zones=_quiet_zones(round_, demand))
    return demand


def _only_avoided_workers_fit(round_: PlanningRound, job: WaitingJob) -> bool:
    """Return whether the job could fit only on workers on which it has failed."""
    key = job.spec.shape, job.avoided_workers
    if key not in round_.only_avoided_workers_fit:
        others = {
            worker.worker_id: worker.state
            for worker in round_.capacity
            if worker.worker_id not in job.avoided_workers
        }
        fits = bool(others) and not misfit_reason(job.spec, others, FleetConfig())
        round_.only_avoided_workers_fit[key] = not fits
    return round_.only_avoided_workers_fit[key]


def _quiet_zones(round_: PlanningRound, demand: Demand) -> tuple[tuple[str, int], ...]:
    """Return zone ids with their rack limits in quiet hours before the job's expected end."""
    now_ms = round_.view.now_ms
    ends_at_ms = demand.ends_at_ms or now_ms + DEFAULT_EXPECTED_RUN_MS
    limits = []
    for zone_id, zone in round_.view.config.zones_by_id.items():
        rule = strictest_rule(zone, now_ms, ends_at_ms)
        if rule is not None and not (demand.urgent and rule.urgent_exempt):
            limits.append((zone_id, rule.max_busy))
    return tuple(limits)
