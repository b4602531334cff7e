"""Tests of planning rounds and other work of a leader that takes long."""

import asyncio
from collections.abc import Callable, Iterator
from types import SimpleNamespace

import pytest
from lycheeslip.dispatch import dispatcher as dispatcher_module
from lycheeslip.dispatch import slices
from lycheeslip.dispatch.board import Board, Leadership, StoredJob
from lycheeslip.dispatch.keys import SPEC_PREFIX
from lycheeslip.dispatch.loader import Loader
from lycheeslip.dispatch.losses import LossCause
from lycheeslip.dispatch.recorder import Recorder
from lycheeslip.dispatch.slices import run_at_once, run_in_slices
from lycheeslip_common.store.outcomes import KeyValue, ReadResult, Written
from lycheeslip_common.utils.clock import steady_ms, wall_ms
from lycheeslip_common.workload.jobs import StepSpec
from lycheeslip_common.workload.progress import (
    begin_runs,
    cancel,
    encode_spec,
)

from .builders import JOB, add_job, dispatcher_of, job_of, leaders_board, lifetime

STEP = StepSpec(1, 1_000, 1_000, 1, 60_000)


def slow_work(for_s: float) -> Callable[..., Iterator[None]]:
    """Return work that takes `for_s` and may be paused each 5 ms."""

    def work(*arguments: object) -> Iterator[None]:
        until_ms = steady_ms() + for_s * 1_000
        while steady_ms() < until_ms:
            paused_at_ms = steady_ms()
            while steady_ms() < paused_at_ms + 5:
                pass
            yield

    return work


async def test_round_that_outlasts_the_lease_leaves_time_for_its_renewal(monkeypatch):
    # Guards against leaders that lose their lease by each long round, so that nothing ever starts.
    board = leaders_board()
    times = board.times._replace(leader_lease_ms=400, leader_renew_ms=120)
    job = add_job(board)
    monkeypatch.setattr(dispatcher_module, "collect_units", slow_work(2 * 0.4))
    planning = asyncio.create_task(dispatcher_of(board).run())
    board.planning_needed.set()
    longest_ms, until_ms = 0, steady_ms() + 1_000
    while steady_ms() < until_ms:
        began_at_ms = steady_ms()
        await asyncio.sleep(times.leader_renew_ms / 1_000)
        longest_ms = max(longest_ms, steady_ms() - began_at_ms)
    planning.cancel()
    assert longest_ms < times.leader_lease_ms
    assert not job.progress.tasks[(0, 0, 0)].is_placed


async def test_round_of_an_ended_term_does_not_go_on():
    # Guards against decisions of a leader that was replaced while its round was paused.
    board = leaders_board()
    term, done = board.leadership, []

    def work() -> Iterator[None]:
        yield from slow_work(0.1)()
        done.append("all")

    running = asyncio.create_task(run_in_slices(work(), lambda: board.leadership is term))
    await asyncio.sleep(0)
    board.leadership = Leadership(2, 2, steady_ms() + 60_000, 0)
    assert not await running
    assert not done


def cancel_job(board: Board) -> None:
    cancel(board.jobs[JOB].progress, wall_ms())


def remove_job(board: Board) -> None:
    cancel_job(board)
    del board.jobs[JOB]


def drain_workers(board: Board) -> None:
    for view in board.workers.values():
        view.report = view.report._replace(is_ready=False)


def evacuate(board: Board) -> None:
    board.evacuated_zones.add("zone")


def shrink_workers(board: Board) -> None:
    for view in board.workers.values():
        view.report = view.report._replace(accelerators=4)


def replace_lifetimes(board: Board) -> None:
    for view in board.workers.values():
        view.report = view.report._replace(lifetime=lifetime("other"))


def lose_links(board: Board) -> None:
    for view in board.workers.values():
        view.link = None


def let_lease_run_out(board: Board) -> None:
    board.leadership.valid_until_ms = steady_ms() - 1


def configure_anew(board: Board) -> None:
    board.config = board.config._replace(version=2)


def finish_late(board: Board) -> None:
    for task in board.jobs[JOB].progress.tasks.values():
        task.is_done = task.is_done or not task.is_placed


def planned_round() -> tuple[Board, StoredJob, Iterator[None]]:
    """Return a board, a job of four tasks, and a planning round that would start them all."""
    board = leaders_board()
    job = add_job(board, task_count=4)
    return board, job, dispatcher_of(board)._run_round()


def places_before_and_after(change: Callable[[Board], None], pause: int) -> tuple[Board, set, set]:
    """Return the board and the tasks placed before a change in a pause, and in the end."""
    board, job, work = planned_round()
    for _ in range(pause):
        next(work)
    before = set(job.progress.placed_keys)
    change(board)
    run_at_once(work)
    return board, before, set(job.progress.placed_keys)


PAUSES = range(1, 1 + sum(1 for _ in planned_round()[2]))
PAUSES_BEFORE_PLACEMENT = 3  # one in each part of a round that goes over all jobs


@pytest.mark.parametrize(
    "change",
    [
        cancel_job,
        remove_job,
        drain_workers,
        evacuate,
        shrink_workers,
        lose_links,
        let_lease_run_out,
        finish_late,
    ],
)
def test_nothing_is_started_that_a_change_in_a_pause_of_the_round_forbids(change):
    # Guards against starts that were decided on what the leader knew before a pause.
    for pause in PAUSES:
        _, before, after = places_before_and_after(change, pause)
        assert after == before


def test_nothing_is_started_on_a_lifetime_that_has_ended_in_a_pause_of_the_round():
    # Guards against starts on workers that have crashed meanwhile.
    for pause in PAUSES:
        board, before, after = places_before_and_after(replace_lifetimes, pause)
        tasks = board.jobs[JOB].progress.tasks
        assert {tasks[key].lifetime for key in after - before} <= {lifetime("other")}


def test_round_decides_nothing_more_once_the_configuration_has_changed():
    # Guards against starts by a route or a guarantee that is no longer in force.
    for pause in PAUSES:
        _, before, after = places_before_and_after(configure_anew, pause)
        assert after == before or pause <= PAUSES_BEFORE_PLACEMENT


def test_run_is_not_preempted_for_a_job_that_was_cancelled_in_a_pause_of_the_round():
    # Guards against work that is thrown away for nothing.
    for is_cancelled in (False, True):
        board = leaders_board()
        running = add_job(board, "b" * 16, task_count=4, priority=2)
        placement = {(0, 0, n): (f"n{n}", lifetime(f"n{n}")) for n in range(4)}
        begin_runs(running.progress, placement, False, wall_ms())
        add_job(board, JOB, priority=0, waited_ms=60_000)
        work = dispatcher_of(board)._run_round()
        for pause, _ in enumerate(work):
            if is_cancelled and pause == PAUSES_BEFORE_PLACEMENT * len(board.jobs):
                cancel_job(board)
        assert (LossCause.PREEMPTED in running.stopping.values()) != is_cancelled


def encoded_job(number: int) -> KeyValue:
    spec = job_of((STEP,)).progress.spec._replace(job_id=f"{number:016x}")
    return KeyValue(f"{SPEC_PREFIX}{spec.job_id}", encode_spec(spec), 1)


async def count_turns_until(done: asyncio.Task[object]) -> int:
    """Return how many turns of the event loop there were until a task was done."""
    turns = 0
    while not done.done():
        await asyncio.sleep(0)
        turns += 1
    return turns


async def test_load_of_many_records_leaves_time_for_the_renewal_of_the_lease(monkeypatch):
    # Guards against a leader that loses its lease while it loads what it has to lead.
    monkeypatch.setattr(slices, "MAX_SLICE_MS", 0)
    board = leaders_board()
    items = tuple(encoded_job(number) for number in range(50))

    async def read_prefix(prefix: str) -> ReadResult:
        return ReadResult(items if SPEC_PREFIX.startswith(prefix) else (), 1)

    store = SimpleNamespace(read_prefix=read_prefix)
    loader = Loader(board, store, SimpleNamespace(schedule_write=lambda job: None))
    loading = asyncio.create_task(loader.load())
    assert await count_turns_until(loading) >= len(items)
    assert len(board.jobs) == len(items)


async def test_encoding_of_large_records_leaves_time_for_the_renewal_of_the_lease(monkeypatch):
    # Guards against a leader that loses its lease while it encodes a batch of large records.
    monkeypatch.setattr(slices, "MAX_SLICE_MS", 0)
    board, written, recorded = leaders_board(), [], []
    for number in range(10):
        add_job(board, f"{number:016x}").is_dirty = True

    async def transact(compares: list[object], puts: list[object]) -> Written:
        written.extend(puts)
        return Written(5)

    recorder = Recorder(board, SimpleNamespace(transact=transact), recorded.extend, None)
    recorder.schedule_write(board.jobs[f"{0:016x}"])
    writing = asyncio.create_task(recorder.run())
    turns = 0
    while not recorded:
        await asyncio.sleep(0)
        turns += 1
    writing.cancel()
    assert turns >= len(written) == 10
