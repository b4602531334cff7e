"""One round of planning: from what is known of the fleet to a list of actions."""

from collections.abc import Hashable

from lycheeslip.config.model import FleetConfig
from lycheeslip.policy.demand import Demand, demand_of, is_large
from lycheeslip.policy.evacuate import evacuate
from lycheeslip.policy.explain import explain_wait
from lycheeslip.policy.feasibility import can_ever_fit
from lycheeslip.policy.model import Action, FleetView, Hold, WaitingJob
from lycheeslip.policy.order import Queued, Tier, queue_of
from lycheeslip.policy.placement import find_placement
from lycheeslip.policy.planning_round import PlanningRound
from lycheeslip.policy.quiet import strictest_rule
from lycheeslip.policy.quiet_limits import enforce_quiet_hours
from lycheeslip.policy.reclaim import reclaim
from lycheeslip.policy.reservation import hold_for

__all__ = ["plan"]

MAX_HOLDS = 1
MAX_UNFIT_GANGS = 8
MAX_PLACEMENTS_PER_ROUND = 64
PATIENCE_MS = 1_000
UNDECLARED_RUN_MS = 3_600_000


def plan(view: FleetView) -> list[Action]:
    """Return what to do now for the waiting and running jobs of `view`."""
    round_ = _decide(view)
    return [*round_.actions, *map(Hold, round_.reservations)]


def _decide(view: FleetView) -> PlanningRound:
    round_ = PlanningRound(view)
    evacuate(round_)
    enforce_quiet_hours(round_)
    queue = queue_of(view, round_.used)
    waits_entitled = {q.job.spec.account for q in queue if q.tier is Tier.ENTITLED}
    for queued in queue:
        if queued.tier is Tier.URGENT_ENTITLED:
            _serve(round_, queued, frozenset())
    for queued in queue:
        if queued.tier is Tier.URGENT:
            _serve(round_, queued, frozenset(waits_entitled - {queued.job.spec.account}))
    unserved = [
        queued
        for queued in queue
        if queued.tier is Tier.ENTITLED and not _serve(round_, queued, frozenset())
    ]
    blocked = {queued.job.spec.account for queued in unserved}
    rest = [queued for queued in queue if queued.tier > Tier.ENTITLED]
    served = _serve_oldest_gangs(round_, unserved + rest, blocked)
    for queued in rest:
        if queued.job.job_id not in served:
            _serve(round_, queued, frozenset(blocked - {queued.job.spec.account}))
    return round_


def _serve(round_: PlanningRound, queued: Queued, barred: frozenset[str]) -> bool:
    """Place the job, or make room for it, or explain; return whether it will get its place."""
    job = queued.job
    demand = _demand(round_, queued, barred)
    if _place(round_, job, demand):
        return True
    if queued.tier <= Tier.ENTITLED and reclaim(round_, demand):
        round_.explain(job.job_id, "reclaiming", "borrowed accelerators are being given back")
        return True
    explain_wait(round_, job, demand)
    return False


def _place(round_: PlanningRound, job: WaitingJob, demand: Demand) -> bool:
    signature = demand.signature()
    if signature in round_.failed_signatures or round_.placed >= MAX_PLACEMENTS_PER_ROUND:
        return False
    placement = find_placement(round_.capacity, demand)
    if placement is None:
        round_.failed_signatures.add(signature)
        return False
    round_.place(job.job_id, job.spec.account, placement)
    return True


def _serve_oldest_gangs(round_: PlanningRound, queue: list[Queued], blocked: set[str]) -> set[str]:
    """Place the oldest gangs before their turn, or hold workers for them; return those done."""
    gangs = [queued for queued in queue if is_large(queued.job.spec.shape)]
    gangs.sort(key=lambda queued: (queued.job.waiting_since_ms, queued.job.job_id))
    done: set[str] = set()
    holds = 0
    unfit: set[Hashable] = set()
    for queued in gangs:
        job = queued.job
        if holds >= MAX_HOLDS or len(unfit) >= MAX_UNFIT_GANGS:
            break
        if round_.view.now_ms - job.waiting_since_ms < PATIENCE_MS:
            break
        demand = _demand(round_, queued, frozenset(blocked - {job.spec.account}))
        if _place(round_, job, demand):
            done.add(job.job_id)
            break
        if demand.signature() in unfit:
            continue
        if not hold_for(round_, job, demand):
            unfit.add(demand.signature())
        else:
            holds += 1
            done.add(job.job_id)
            if queued.tier is not Tier.ENTITLED:
                explain_wait(round_, job, demand)
    return done


def _demand(round_: PlanningRound, queued: Queued, barred: frozenset[str]) -> Demand:
    job = queued.job
    view = round_.view
    demand = demand_of(job, view.now_ms, queued.entitled)._replace(barred_homes=barred)
    if job.avoid and _nowhere_else(round_, job):
        demand = demand._replace(avoid=frozenset())
    if not demand.interruptible:
        demand = demand._replace(quiet_zones=_quiet_zones(round_, demand))
    return demand


def _nowhere_else(round_: PlanningRound, job: WaitingJob) -> bool:
    """Return whether only workers where the job failed could hold it."""
    key = job.spec.shape, job.avoid
    if key not in round_.nowhere_else:
        others = {
            worker.worker_id: worker.state
            for worker in round_.capacity
            if worker.worker_id not in job.avoid
        }
        fits = bool(others) and not can_ever_fit(job.spec, others, FleetConfig())
        round_.nowhere_else[key] = not fits
    return round_.nowhere_else[key]


def _quiet_zones(round_: PlanningRound, demand: Demand) -> tuple[tuple[str, int], ...]:
    """Return the limits of quiet hours that begin before the job is expected to end."""
    now_ms = round_.view.now_ms
    ends_at_ms = demand.ends_at_ms or now_ms + UNDECLARED_RUN_MS
    limits = []
    for zone_id, zone in round_.view.config.zones_by_id.items():
        rule = strictest_rule(zone, now_ms, ends_at_ms)
        if rule is not None and not (demand.urgent and rule.urgent_exempt):
            limits.append((zone_id, rule.max_busy))
    return tuple(limits)
