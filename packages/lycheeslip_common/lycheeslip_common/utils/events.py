"""Catalogue of the log events of the platform deployment, with their fields and meanings.

The reference page is generated from this catalogue; a test compares it with the code.
"""

from typing import NamedTuple

__all__ = ["EVENTS", "Event", "events_page"]


class Event(NamedTuple):
    """A log event; `fields` lists its keys in alphabetical order, separated by spaces."""

    name: str
    writer: str
    fields: str
    meaning: str


EVENTS = (
    Event(
        "accept_failed",
        "both",
        "error",
        "A connection couldn't be accepted; after a lack of descriptors the listener pauses.",
    ),
    Event(
        "admission_failed",
        "both",
        "error",
        "The decision on a connection failed unexpectedly; that connection was closed.",
    ),
    Event("advice_missing", "leader", "job reason", "The advice service returned no decision."),
    Event(
        "advice_received",
        "leader",
        "approved asked job step took_ms validity_ms",
        "`approved` of `asked` workers may run the step; tickets are valid for `validity_ms`.",
    ),
    Event(
        "agent_leaving", "leader", "node reason", "An agent announced that its process is ending."
    ),
    Event("agent_link_ended", "leader", "node reason", "The connection to an agent ended."),
    Event("agent_started", "agent", "node", "The agent's controllers are running."),
    Event("agent_stopped", "agent", "node", "The agent's controllers have ended."),
    Event("agent_stopping", "agent", "node", "The agent received a stop signal."),
    Event(
        "call_answered",
        "entry",
        "job method outcome path reason retry_after_s status took_ms",
        "A request and its outcome; `NotRun` means that nothing ran or will run. `retry_after_s` is"
        " the pause that the caller is asked for (0: none).",
    ),
    Event(
        "call_forwarded",
        "entry",
        "address outcome path reason took_ms",
        "The entry at `address` was asked to decide a call that this entry can't decide.",
    ),
    Event("call_try_failed", "entry", "error", "Deciding a call failed unexpectedly."),
    Event("call_unreadable", "entry", "path reason", "A request body is invalid; nothing ran."),
    Event(
        "config_applied",
        "entry",
        "accounts queues revision version",
        "The entry applied a configuration; `accounts` lists the guarantees.",
    ),
    Event(
        "config_unreadable",
        "entry",
        "reason revision",
        "A configuration is invalid and was ignored; the previous one stays in force.",
    ),
    Event(
        "connection_closed",
        "both",
        "count reason",
        "`count` connections were closed for `reason`; one line per reason and second at most.",
    ),
    Event(
        "controller_failed",
        "both",
        "controller error",
        "A controller raised an exception; it restarts.",
    ),
    Event(
        "crash_counted",
        "leader",
        "crash_weight crashes_as_only_start crashes_at_start is_at_start is_only_start run task",
        "A crash of a task's worker counts against the task, as nothing else explains it."
        " `crash_weight` is that of all of the task, a late one counting half;"
        " `crashes_at_start` are those just after a start, and"
        " `crashes_as_only_start` those of these where nothing else had just started.",
    ),
    Event(
        "crash_explained",
        "leader",
        "crash_weight other_node reason run task",
        "A crash of a task's worker has another explanation: `coincides`, as the worker of"
        " `other_node`, on which nothing had just started, crashed at the same moment, or"
        " `unknown`, as its agent has not reported it to this leader. One just after a start"
        " counts in `crash_weight` all the same.",
    ),
    Event(
        "crash_seen",
        "leader",
        "age_ms has_begun is_beside_start is_suspect node run since_ms task",
        "The worker of a task crashed `age_ms` ago, `since_ms` after the run had begun there"
        " (`has_begun`) or its start had been sent. With `is_beside_start` another unit had just"
        " started there. A suspect starts next on a worker of its own.",
    ),
    Event(
        "end_of_unknown_job",
        "leader",
        "node task",
        "A worker lists an ended run of an unknown job.",
    ),
    Event("entry_started", "entry", "address node zone", "The entry's controllers are running."),
    Event("entry_stopped", "entry", "node", "The entry has answered its last request."),
    Event("entry_stopping", "entry", "grace_s node", "The entry received a stop signal."),
    Event(
        "entry_unreachable", "agent", "address reason", "The agent could not connect to an entry."
    ),
    Event(
        "filling_paced",
        "agent",
        "before percent pressure serving",
        "The speed of best-effort tasks, in percent, changed from `before` to `percent`; `pressure`"
        " is the highest ratio of latency to target among the `serving` runs.",
    ),
    Event(
        "forwarded_call_answered",
        "entry",
        "outcome path reason",
        "This entry decided a call of another entry.",
    ),
    Event(
        "heartbeat_rejected",
        "agent",
        "known lifetime reason",
        "The worker did not confirm that it is of the `lifetime` that a heartbeat names.",
    ),
    Event(
        "heartbeat_unusable",
        "agent",
        "reason worker",
        "A heartbeat does not describe a usable worker.",
    ),
    Event(
        "heartbeat_without_lists",
        "agent",
        "lifetime reason",
        "A heartbeat has no valid lists of runs.",
    ),
    Event("hold_rejected", "agent", "epoch reason", "The worker refused to extend the lease."),
    Event(
        "job_cancelled", "leader", "job", "The leader received a cancellation and stops the job."
    ),
    Event(
        "job_given_up",
        "leader",
        "job reason task",
        "A job has failed since worker after worker crashed under one of its tasks.",
    ),
    Event(
        "job_history_lost",
        "leader",
        "revision",
        "The store no longer has all changes; the leader reads all jobs again.",
    ),
    Event("job_invalid", "entry", "job reason", "A submitted job was rejected as invalid."),
    Event(
        "job_known",
        "leader",
        "account delay_ms job occurrences priority queue state step_count steps",
        "The leader loaded a job, `delay_ms` after its acceptance; `steps` are the first of them.",
    ),
    Event(
        "job_watch_failed",
        "leader",
        "reason",
        "The store did not answer the watch request for jobs.",
    ),
    Event("jobs_forgotten", "leader", "count", "Expired records of ended jobs were deleted."),
    Event(
        "late_message_dropped",
        "leader",
        "kind node role",
        "A message came on a link for which the process had opened a newer one already.",
    ),
    Event(
        "leader_elected",
        "entry",
        "epoch node succeeded",
        "The entry leads; `succeeded` is the term that it took over before its lease ended.",
    ),
    Event(
        "leader_lease_not_released",
        "entry",
        "epoch",
        "The leader's lease was not released and ends when it expires.",
    ),
    Event("leader_linked", "both", "address epoch", "A connection to the leader is open."),
    Event(
        "leader_lost", "both", "address dependency reason", "The connection to the leader ended."
    ),
    Event(
        "leader_record_unusable",
        "entry",
        "revision",
        "Another writer replaced the leader's record; the entry takes the term over.",
    ),
    Event(
        "leader_renewal_failed",
        "leader",
        "epoch failures reason",
        "The store did not renew the leader's lease.",
    ),
    Event("leader_stepped_down", "leader", "epoch reason", "The entry is no longer the leader."),
    Event(
        "leader_succeeded",
        "agent",
        "address epoch",
        "Another entry became leader; the agent connects to it.",
    ),
    Event(
        "leader_unreachable",
        "entry",
        "address reason",
        "The entry could not connect to the leader.",
    ),
    Event(
        "link_stuck",
        "both",
        "node queued",
        "The peer has taken no message for 5 s, so the connection is closed with `queued` unsent.",
    ),
    Event(
        "operator_history_lost",
        "entry",
        "revision",
        "The store no longer has all changes by operators.",
    ),
    Event(
        "order_without_run",
        "both",
        "node reason run task",
        "An order started no run; the leader's line names the node.",
    ),
    Event(
        "pace_not_confirmed",
        "agent",
        "outcome run task",
        "The worker did not confirm a run's speed limit; it is sent again.",
    ),
    Event(
        "planning_round_slow",
        "leader",
        "blocked took_ms units workers",
        "A planning round took 50 ms or more. `blocked` of `units` waiting units fit nowhere.",
    ),
    Event(
        "preemption_declined",
        "leader",
        "cost_core_s job max_cost_core_s slack_ms unit waited_ms",
        "Runs could be stopped for a blocked urgent unit, but their stop costs more than allowed.",
    ),
    Event("process_starting", "both", "node python role", "The first line of a process."),
    Event("record_unreadable", "entry", "job reason", "A job's record could not be decoded."),
    Event(
        "record_write_lost_term",
        "leader",
        "epoch jobs",
        "A write conflicted with one by another leader.",
    ),
    Event(
        "record_write_retried",
        "leader",
        "jobs reason",
        "A write is retried until its outcome is known.",
    ),
    Event("records_loaded", "leader", "jobs revision", "A new leader has read all records."),
    Event(
        "run_ended",
        "leader",
        "cause job_state loss lost_core_s node run task",
        "A run ended; `job_state` is the result. Causes `lost` and `crashed` are inferred, others"
        " are reported. `loss` says why `lost_core_s` core-seconds of work were lost.",
    ),
    Event(
        "run_forecast",
        "agent",
        "progress remaining_ms run task whole_run_ms",
        "The estimate of when a run will be done is new or has changed. While the run makes little"
        " progress `remaining_ms` is a lower bound; `whole_run_ms` is what a whole run takes if"
        " nothing slows it down (-1: not known yet).",
    ),
    Event(
        "run_preempted",
        "leader",
        "for_job is_guaranteed loss_core_s node patience_ms priority run task times_preempted"
        " work_core_s",
        "A run is preempted for a unit (gang or task) of another job. `priority` is the run's,"
        " `loss_core_s` the work lost, `work_core_s` the unit's own work. `times_preempted` is how"
        " often this leader has preempted the task before.",
    ),
    Event(
        "run_relocated",
        "leader",
        "due_in_ms leaves_in_ms nodes remaining_ms run run_ms task",
        "A task or gang is stopped to start again elsewhere: its worker leaves in `leaves_in_ms`"
        " or is slow. It would still take `remaining_ms`, elsewhere `run_ms`.",
    ),
    Event("run_started", "agent", "run task took_ms", "The worker confirmed a start."),
    Event(
        "run_time_estimated",
        "leader",
        "declared_ms estimate_ms high_ms job low_ms samples source step",
        "A step's run time was estimated from earlier runs, `samples` of its kind, and is used"
        " in place of the declared one until its own runs are measured; four of five runs should"
        " take `low_ms` to `high_ms`. `source` is the group of those runs: `account` and `shape`"
        " (demand, gang, saved progress), all accounts' of that `shape`, or the whole `queue`.",
    ),
    Event(
        "run_times_unusable",
        "leader",
        "key reason",
        "A record of learned run times can't be decoded and was passed over.",
    ),
    Event(
        "settings_changed",
        "both",
        "",
        "The process received SIGHUP; its settings do not change while it runs.",
    ),
    Event(
        "start_ordered", "leader", "node run task", "A run is recorded and its start order is sent."
    ),
    Event(
        "start_repeated",
        "leader",
        "node run task",
        "A newly connected agent doesn't list a recorded run, so its start is ordered again.",
    ),
    Event(
        "start_unanswered",
        "agent",
        "reason run task",
        "The worker did not answer a start order and may have started the run.",
    ),
    Event(
        "start_withdrawn",
        "leader",
        "run task",
        "A start that may be on its way no longer fits, as its worker's capacity has shrunk.",
    ),
    Event(
        "start_withheld",
        "leader",
        "is_listed job_state node run task",
        "The start of a recorded run isn't ordered again, since the run has ended or has to stop;"
        " `is_listed` says whether the agent lists it.",
    ),
    Event("stop_done", "agent", "outcome run task", "The worker confirmed a stop."),
    Event("stop_ordered", "leader", "cause epoch node run task", "A stop order is sent."),
    Event("store_lost", "entry", "dependency reason", "The store stopped answering."),
    Event("store_regained", "entry", "age_ms dependency", "The store answers again."),
    Event("unexpected_message", "both", "kind node", "A peer sent a message that it may not send."),
    Event(
        "unit_placed",
        "leader",
        "job nodes run slack_ms tasks unit waited_ms",
        "A gang or task was placed after `waited_ms`; its record is being written. Beyond"
        " `slack_ms` it misses its latency objective.",
    ),
    Event(
        "unreadable_row", "agent", "list row", "An invalid row of the worker's lists was ignored."
    ),
    Event("worker_announced", "agent", "lifetime service", "A new lifetime of the worker began."),
    Event(
        "worker_crashed",
        "agent",
        "ago_ms lifetime running silence_ms starting youngest_run_ms",
        "The worker's process ended without notice while the agent lived on, `ago_ms` before;"
        " the run that began there last did so `youngest_run_ms` before that (-1: none).",
    ),
    Event(
        "worker_draining",
        "agent",
        "lifetime remaining_ms running",
        "The worker announced that it will leave, in `remaining_ms` at the earliest.",
    ),
    Event("worker_gone", "agent", "lifetime running", "The worker's process ended."),
    Event(
        "worker_known",
        "leader",
        "lifetime node running",
        "The leader got a worker's first report over a new connection or of a new lifetime.",
    ),
    Event("worker_leaves", "agent", "lifetime", "The worker is leaving; no runs start there."),
    Event(
        "worker_lifetime_over", "agent", "lifetime", "A different lifetime of the worker answered."
    ),
    Event(
        "worker_reborn",
        "agent",
        "born_ms lifetime",
        "The worker's lists belong to a newer lifetime.",
    ),
    Event("worker_silent", "agent", "reason", "The worker did not answer."),
    Event(
        "worker_slow",
        "leader",
        "limit_ms node progress remaining_ms run task",
        "A run takes over `limit_ms`, twice what its own best speed or its step's other runs ask"
        " for; urgent work avoids the worker for a while.",
    ),
    Event(
        "worker_unused",
        "agent",
        "took_ms",
        "The worker has never been called, so the runs of its earlier lifetimes have ended.",
    ),
    Event("zone_evacuated", "entry", "zone", "The zone was evacuated; no runs start there."),
    Event("zone_in_service", "entry", "revision zone", "The zone is back in service."),
)


def events_page() -> str:
    """Return the reference page of all events."""
    rows = [
        f"| `{event.name}` | {event.writer} | {_format_fields(event.fields)} | {event.meaning} |"
        for event in EVENTS
    ]
    head = [
        "# Events",
        "",
        "Lines that entries and agents on the platform log to standard output, as `event=NAME` and",
        "key=value pairs. The leader is one of the entries. Generated from the catalogue in",
        "`lycheeslip_common.utils.events`.",
        "",
        "| Event | Written by | Fields | Meaning |",
        "|---|---|---|---|",
    ]
    return "\n".join([*head, *rows, ""])


def _format_fields(fields: str) -> str:
    return ", ".join(f"`{field}`" for field in fields.split())
