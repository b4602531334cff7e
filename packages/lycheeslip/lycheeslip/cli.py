"""The command line of lycheeslip."""

from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Annotated, Any, NoReturn

import typer
import uvloop
from lycheeslip_common.structure.jobs import Adjacency, JobKind

from lycheeslip.commands import config as config_commands
from lycheeslip.commands import entry as entry_command
from lycheeslip.commands import fleet, jobs, submit, token
from lycheeslip.commands.options import Options, OutputForm
from lycheeslip.commands.outcomes import CommandError, ExitCode
from lycheeslip.config.units import parse_duration, parse_memory

__all__ = ["app"]

DEFAULT_ENTRY = "127.0.0.1:8080"
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

ConfigFile = Annotated[Path, typer.Argument(metavar="FILE", help="Configuration in YAML.")]
JobId = Annotated[str, typer.Argument(metavar="JOB", help="Id of the job.")]


def _duration_ms(value: str | int) -> int:
    return _parsed(parse_duration, value)


def _memory_mb(value: str | int) -> int:
    return _parsed(parse_memory, value)


def _parsed(parse: Callable[[object], int], value: str | int) -> int:
    if isinstance(value, int):
        return value
    try:
        return parse(value)
    except ValueError as error:
        raise typer.BadParameter(str(error)) from None


def _finish(command: Callable[[], int]) -> NoReturn:
    """Run `command` and exit with its code; an error is one message, never a stack trace."""
    try:
        code = command()
    except CommandError as error:
        typer.echo(f"error: {error}", err=True)
        code = error.code
    raise typer.Exit(int(code))


def _run(command: Coroutine[Any, Any, ExitCode]) -> NoReturn:
    _finish(lambda: uvloop.run(command))


@app.callback()
def main_options(
    context: typer.Context,
    entry: Annotated[
        str,
        typer.Option(envvar="LYCHEESLIP_ENTRY", help="Addresses of entries, comma separated."),
    ] = DEFAULT_ENTRY,
    bearer: Annotated[
        str, typer.Option("--token", envvar="LYCHEESLIP_TOKEN", help="Bearer token.")
    ] = "",
    output: Annotated[OutputForm, typer.Option(help="Form of the result.")] = OutputForm.TEXT,
) -> None:
    """Read the options that hold for every command."""
    addresses = tuple(item.strip() for item in entry.split(",") if item.strip())
    if not addresses:
        raise typer.BadParameter("no address of an entry", param_hint="--entry")
    context.obj = Options(addresses, bearer, output)


@app.command("entry")
def run_entry(
    settings: Annotated[Path, typer.Option(help="Settings of the process in YAML.")],
) -> None:
    """Run an entry process until it is told to leave."""
    _finish(lambda: entry_command.run_entry_process(settings))


@config_app.command("check")
def config_check(context: typer.Context, file: ConfigFile) -> None:
    """Check a file without asking an entry."""
    _finish(lambda: config_commands.check_config(context.obj, file))


@config_app.command("diff")
def config_diff(
    context: typer.Context,
    file: ConfigFile,
    against: Annotated[
        Path | None, typer.Option(help="Compare with this file instead of the fleet.")
    ] = None,
) -> None:
    """Show what applying a file would change."""
    _run(config_commands.diff_config(context.obj, file, against))


@config_app.command("apply")
def config_apply(
    context: typer.Context,
    file: ConfigFile,
    expect: Annotated[
        int | None, typer.Option(min=0, help="Revision to replace; default: the current one.")
    ] = None,
    without: Annotated[
        str, typer.Option(metavar="ENTRIES", help="Entries that are known to have ended.")
    ] = "",
) -> None:
    """Apply a file as a whole."""
    _run(config_commands.apply_config(context.obj, file, expect, without))


@config_app.command("show")
def config_show(context: typer.Context) -> None:
    """Show the configuration that is in force."""
    _run(config_commands.show_config(context.obj))


@config_app.command("history")
def config_history(context: typer.Context) -> None:
    """Show the revisions that were applied."""
    _run(config_commands.show_history(context.obj))


@app.command("submit")
def submit_job(
    context: typer.Context,
    file: Annotated[
        Path | None, typer.Option(help="Submit each line of a JSONL file instead.")
    ] = None,
    account: Annotated[str, typer.Option(help="Client account.")] = "",
    kind: Annotated[JobKind, typer.Option(help="How soon the answer is needed.")] = (
        JobKind.DEFERRABLE
    ),
    members: Annotated[int, typer.Option(min=1, help="Tasks that run together.")] = 1,
    accelerators: Annotated[int, typer.Option(min=0, help="Accelerators of a member.")] = 1,
    processors: Annotated[int, typer.Option(min=0, help="Processor cores of a member.")] = 1,
    memory: Annotated[
        int,
        typer.Option(
            parser=_memory_mb, metavar="SIZE", show_default="256MB", help="Memory of a member."
        ),
    ] = DEFAULT_MEMORY_MB,
    adjacency: Annotated[Adjacency, typer.Option(help="Where members must lie.")] = Adjacency.ANY,
    payload: Annotated[str, typer.Option(help="Text that is handed to each task.")] = "",
    repeatable: Annotated[
        bool, typer.Option(help="Whether the job may be run again after a failure.")
    ] = True,
    deadline: Annotated[
        int,
        typer.Option(
            parser=_duration_ms,
            metavar="TIME",
            show_default="none",
            help="Time left, such as 90s or 2h.",
        ),
    ] = 0,
    expected_run: Annotated[
        int,
        typer.Option(
            parser=_duration_ms,
            metavar="TIME",
            show_default="none",
            help="Estimate of its run time.",
        ),
    ] = 0,
    label: Annotated[str, typer.Option(help="Name for people.")] = "",
    key: Annotated[str, typer.Option(help="Idempotency key, or its prefix for a file.")] = "",
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
    patience = submit.Patience(wait=wait, wait_s=wait_for / MILLISECONDS_PER_SECOND)
    if file is not None:
        _finish(lambda: submit.submit_file(context.obj, file, key, patience))
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
    _run(submit.submit_jobs(context.obj, [submit.JobRequest(body, key)], patience))


@app.command("status")
def show_status(context: typer.Context) -> None:
    """Show entries, zones, accounts and workers."""
    _run(fleet.show_status(context.obj))


@app.command("explain")
def explain_job(context: typer.Context, job: JobId) -> None:
    """Say why a job waits, or what happened to it."""
    _run(jobs.explain_job(context.obj, job))


@app.command("cancel")
def cancel_job(context: typer.Context, job: JobId) -> None:
    """Cancel a job."""
    _run(jobs.cancel_job(context.obj, job))


@app.command("answer")
def fetch_answer(
    context: typer.Context,
    job: JobId,
    out: Annotated[Path | None, typer.Option(help="File for the answer.")] = None,
    wait_for: Annotated[
        int,
        typer.Option(
            parser=_duration_ms, metavar="TIME", show_default="1h", help="How long to wait."
        ),
    ] = DEFAULT_WAIT_MS,
) -> None:
    """Write the answer of a job to standard output or a file."""
    _run(jobs.fetch_answer(context.obj, job, out, wait_for / MILLISECONDS_PER_SECOND))


@app.command("drain")
def drain_worker(
    context: typer.Context,
    worker: Annotated[str, typer.Argument(metavar="WORKER", help="Id of the worker.")],
) -> None:
    """Have a worker take no new work."""
    _run(fleet.drain_worker(context.obj, worker))


@app.command("undrain")
def undrain_worker(
    context: typer.Context,
    worker: Annotated[str, typer.Argument(metavar="WORKER", help="Id of the worker.")],
) -> None:
    """Have a drained worker take work again."""
    _run(fleet.undrain_worker(context.obj, worker))


@app.command("token")
def make_token(context: typer.Context) -> None:
    """Make a bearer token and print its digest."""
    _finish(lambda: token.make_token(context.obj))
