"""Command-line interface of lycheeslip."""

from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Annotated, Any, NoReturn

import typer
import uvloop
from lycheeslip_common.structure.jobs import Adjacency, JobKind

from lycheeslip.commands import config as config_commands
from lycheeslip.commands import entry as entry_command
from lycheeslip.commands import fleet, jobs, logs, submit, token
from lycheeslip.commands.options import Options, OutputFormat
from lycheeslip.commands.outcomes import CommandError, ExitCode
from lycheeslip.config.units import parse_duration, parse_memory

__all__ = ["app"]

DEFAULT_ENTRY = "127.0.0.1:8080"
IN_FORCE = "in-force"
DEFAULT_MEMORY_MB = 256
DEFAULT_WAIT_MS = 3_600_000
MILLISECONDS_PER_SECOND = 1_000

app = typer.Typer(
    help="Schedules multi-accelerator jobs under client account guarantees.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
config_app = typer.Typer(help="Check, compare, apply and show the configuration.")
app.add_typer(config_app, name="config", no_args_is_help=True)

ConfigFile = Annotated[Path, typer.Argument(metavar="FILE", help="Configuration file (YAML).")]
JobId = Annotated[str, typer.Argument(metavar="JOB", help="Id of the job.")]


def _duration_ms(value: str | int) -> int:
    return _parse_option(parse_duration, value)


def _memory_mb(value: str | int) -> int:
    return _parse_option(parse_memory, value)


def _parse_option(parse: Callable[[object], int], value: str | int) -> int:
    """Parse the text of an option; a default value is already an integer."""
    if isinstance(value, int):
        return value
    try:
        return parse(value)
    except ValueError as error:
        raise typer.BadParameter(str(error)) from None


def _run_and_exit(command: Callable[[], int]) -> NoReturn:
    """Run `command` and exit with its code; errors are printed without a stack trace."""
    try:
        code = command()
    except CommandError as error:
        typer.echo(f"error: {error}", err=True)
        code = error.code
    raise typer.Exit(int(code))


def _run_async_and_exit(command: Coroutine[Any, Any, ExitCode]) -> NoReturn:
    _run_and_exit(lambda: uvloop.run(command))


@app.callback()
def main_options(
    context: typer.Context,
    entry: Annotated[
        str,
        typer.Option(envvar="LYCHEESLIP_ENTRY", help="Comma-separated entry addresses."),
    ] = DEFAULT_ENTRY,
    bearer: Annotated[
        str, typer.Option("--token", envvar="LYCHEESLIP_TOKEN", help="Bearer token.")
    ] = "",
    output: Annotated[OutputFormat, typer.Option(help="Output format.")] = OutputFormat.TEXT,
) -> None:
    """Read the options shared by all commands."""
    addresses = tuple(item.strip() for item in entry.split(",") if item.strip())
    if not addresses:
        raise typer.BadParameter("no entry address given", param_hint="--entry")
    context.obj = Options(addresses, bearer, output)


@app.command("entry")
def run_entry(
    settings: Annotated[Path, typer.Option(help="Settings file of the process (YAML).")],
) -> None:
    """Run an entry process until it is signalled to stop."""
    _run_and_exit(lambda: entry_command.run_entry_process(settings))


@config_app.command("check")
def config_check(
    context: typer.Context,
    file: ConfigFile,
    against: Annotated[
        str,
        typer.Option(
            metavar="in-force|FILE",
            help="Also check what changes from the active configuration, or from a file.",
        ),
    ] = "",
) -> None:
    """Check a file; an entry is contacted only with --against in-force."""
    baseline: config_commands.Baseline | None = None
    if against == IN_FORCE:
        baseline = config_commands.InForceBaseline()
    elif against:
        baseline = config_commands.FileBaseline(Path(against))
    _run_async_and_exit(config_commands.check_config(context.obj, file, baseline))


@config_app.command("diff")
def config_diff(
    context: typer.Context,
    file: ConfigFile,
    against: Annotated[
        Path | None,
        typer.Option(help="Compare with this file instead of the active configuration."),
    ] = None,
) -> None:
    """Show what applying a file would change."""
    _run_async_and_exit(config_commands.diff_config(context.obj, file, against))


@config_app.command("apply")
def config_apply(
    context: typer.Context,
    file: ConfigFile,
    expect: Annotated[
        int | None, typer.Option(min=0, help="Revision to replace; defaults to the current one.")
    ] = None,
    without: Annotated[
        str,
        typer.Option(
            metavar="ENTRIES", help="Comma-separated entries that are known to have stopped."
        ),
    ] = "",
) -> None:
    """Apply a file as a whole."""
    _run_async_and_exit(config_commands.apply_config(context.obj, file, expect, without))


@config_app.command("show")
def config_show(context: typer.Context) -> None:
    """Show the active configuration."""
    _run_async_and_exit(config_commands.show_config(context.obj))


@config_app.command("history")
def config_history(context: typer.Context) -> None:
    """Show the applied revisions."""
    _run_async_and_exit(config_commands.show_history(context.obj))


@app.command("submit")
def submit_job(
    context: typer.Context,
    file: Annotated[
        Path | None, typer.Option(help="Submit each line of a JSONL file instead.")
    ] = None,
    account: Annotated[str, typer.Option(help="Client account.")] = "",
    kind: Annotated[JobKind, typer.Option(help="Urgency of the job.")] = JobKind.DEFERRABLE,
    members: Annotated[int, typer.Option(min=1, help="Number of tasks that run together.")] = 1,
    accelerators: Annotated[int, typer.Option(min=0, help="Accelerators per member.")] = 1,
    processors: Annotated[int, typer.Option(min=0, help="Processor cores per member.")] = 1,
    memory: Annotated[
        int,
        typer.Option(
            parser=_memory_mb, metavar="SIZE", show_default="256MB", help="Memory per member."
        ),
    ] = DEFAULT_MEMORY_MB,
    adjacency: Annotated[
        Adjacency, typer.Option(help="Placement constraint between members.")
    ] = Adjacency.ANY,
    payload: Annotated[str, typer.Option(help="Text passed to each task.")] = "",
    repeatable: Annotated[
        bool, typer.Option(help="Whether the job may be rerun after a failure.")
    ] = True,
    deadline: Annotated[
        int,
        typer.Option(
            parser=_duration_ms,
            metavar="TIME",
            show_default="none",
            help="Time until the deadline, such as 90s or 2h.",
        ),
    ] = 0,
    expected_run: Annotated[
        int,
        typer.Option(
            parser=_duration_ms,
            metavar="TIME",
            show_default="none",
            help="Estimated run time.",
        ),
    ] = 0,
    label: Annotated[str, typer.Option(help="Human-readable name.")] = "",
    key: Annotated[
        str, typer.Option(help="Idempotency key; with --file, the prefix of the keys.")
    ] = "",
    wait: Annotated[bool, typer.Option(help="Wait for the answer.")] = True,
    wait_for: Annotated[
        int,
        typer.Option(
            parser=_duration_ms, metavar="TIME", show_default="1h", help="How long to wait."
        ),
    ] = DEFAULT_WAIT_MS,
) -> None:
    """Submit one job, or a file of jobs, and wait for the answers."""
    key = key or submit.new_idempotency_key()
    wait_policy = submit.WaitPolicy(wait=wait, wait_s=wait_for / MILLISECONDS_PER_SECOND)
    if file is not None:
        _run_and_exit(lambda: submit.submit_file(context.obj, file, key, wait_policy))
    if not account:
        raise typer.BadParameter("is required without --file", param_hint="--account")
    body = {
        "account": account,
        "kind": kind,
        "shape": {
            "members": members,
            "accelerators": accelerators,
            "processors": processors,
            "memory_mb": memory,
            "adjacency": adjacency,
        },
        "payload": payload,
        "repeatable": repeatable,
        "deadline_in_ms": deadline,
        "expected_run_ms": expected_run,
        "label": label,
    }
    _run_async_and_exit(
        submit.submit_jobs(context.obj, [submit.JobRequest(body, key)], wait_policy)
    )


@app.command("status")
def show_status(context: typer.Context) -> None:
    """Show entries, zones, accounts and workers."""
    _run_async_and_exit(fleet.show_status(context.obj))


@app.command("explain")
def explain_job(
    context: typer.Context,
    job: JobId,
    log: Annotated[
        list[Path] | None,
        typer.Option(metavar="FILE", help="Log of a process, instead of an entry; repeatable."),
    ] = None,
) -> None:
    """Explain why a job is waiting, or what happened to it."""
    if log:
        _run_and_exit(lambda: logs.explain_from_logs(job, log))
    _run_async_and_exit(jobs.explain_job(context.obj, job))


@app.command("lost-work")
def show_lost_work(
    context: typer.Context,
    log: Annotated[
        list[Path], typer.Argument(metavar="FILE...", help="Logs of entries and agents.")
    ],
) -> None:
    """Show from logs which work was lost with runs, and why."""
    _run_and_exit(lambda: logs.show_lost_work(context.obj, log))


@app.command("cancel")
def cancel_job(context: typer.Context, job: JobId) -> None:
    """Cancel a job."""
    _run_async_and_exit(jobs.cancel_job(context.obj, job))


@app.command("answer")
def fetch_answer(
    context: typer.Context,
    job: JobId,
    out: Annotated[Path | None, typer.Option(help="File to write the answer to.")] = None,
    wait_for: Annotated[
        int,
        typer.Option(
            parser=_duration_ms, metavar="TIME", show_default="1h", help="How long to wait."
        ),
    ] = DEFAULT_WAIT_MS,
) -> None:
    """Write the answer of a job to standard output or a file."""
    _run_async_and_exit(
        jobs.fetch_answer(context.obj, job, out, wait_for / MILLISECONDS_PER_SECOND)
    )


@app.command("drain")
def drain_worker(
    context: typer.Context,
    worker: Annotated[str, typer.Argument(metavar="WORKER", help="Id of the worker.")],
) -> None:
    """Stop assigning new work to a worker."""
    _run_async_and_exit(fleet.drain_worker(context.obj, worker))


@app.command("undrain")
def undrain_worker(
    context: typer.Context,
    worker: Annotated[str, typer.Argument(metavar="WORKER", help="Id of the worker.")],
) -> None:
    """Resume assigning work to a drained worker."""
    _run_async_and_exit(fleet.undrain_worker(context.obj, worker))


@app.command("token")
def make_token(context: typer.Context) -> None:
    """Generate a bearer token and print it with its digest."""
    _run_and_exit(lambda: token.make_token(context.obj))
