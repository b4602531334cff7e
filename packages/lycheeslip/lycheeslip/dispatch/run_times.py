"""Run times of a job's tasks, as workers' reports show them."""

from bisect import bisect_left, insort

from lycheeslip_common.workload.progress import TaskKey

__all__ = ["RunTimes"]


class RunTimes:
    """The last run time of each task in ms, kept in order within each step."""

    def __init__(self) -> None:
        """Start without any."""
        self._by_task: dict[TaskKey, int] = {}
        self._sorted_by_step: dict[int, list[int]] = {}

    def record(self, key: TaskKey, run_ms: int) -> None:
        """Record the run time of a task, in place of an earlier one."""
        previous_ms = self._by_task.get(key)
        if previous_ms == run_ms:
            return
        of_step = self._sorted_by_step.setdefault(key[1], [])
        if previous_ms is not None:
            del of_step[bisect_left(of_step, previous_ms)]
        insort(of_step, run_ms)
        self._by_task[key] = run_ms

    def of_task(self, key: TaskKey) -> int | None:
        """Return the last run time of a task, None if it has none."""
        return self._by_task.get(key)

    def count(self, step: int) -> int:
        """Return how many tasks of a step have a run time."""
        return len(self._sorted_by_step.get(step, ()))

    def median(self, step: int) -> int | None:
        """Return the lower median of a step's run times, None if there are none.

        The lower one is not misled by a run on a slow worker.
        """
        of_step = self._sorted_by_step.get(step)
        return of_step[(len(of_step) - 1) // 2] if of_step else None
