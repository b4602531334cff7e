"""Clients outside the limits at the listeners of running platform processes.

Each test guards against a process that ends, hangs, or exceeds the memory or the descriptors of its
machine under one pattern of such clients. The limits are low, so that a small load exceeds them.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Iterator
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

import pytest

from tests.harness.crowd import Crowd, Usage
from tests.harness.platform_processes import HOST, Processes, call, submit, until_completed

pytestmark = pytest.mark.processes

WAIT_S = 45  # generous, so that a slow machine fails no test
MAX_BODY_BYTES = 262_144  # the limit of the operator's configuration where it sets none
MEMORY_MB = {"entry": 110, "agent": 90}  # idle processes use 45 and 29 MB
# 200 descriptors are for files. MANY_FDS leaves room for all connections of a crowd, so that only
# the memory limits it; FEW_FDS does not.
MANY_FDS = 1_000
FEW_FDS = 300
# Clients that exceed the descriptors connect one by one, so that a listener that closes those over
# its limit need not hold all of them within one turn of its event loop.
CONNECT_INTERVAL_S = 0.005


class Target(NamedTuple):
    """A path of a listener; `{}` in it is replaced by the number of the client."""

    role: str
    listener: str
    path: str

    def address(self, processes: Processes) -> str:
        """Return the address of the listener."""
        return {
            "frontend": processes.frontends,
            "readiness": processes.readiness,
            "control_plane": processes.agent_addresses,
        }[self.listener][0]

    def head(self, number: int, *fields: str, method: str = "POST") -> bytes:
        """Return the head of a request of client `number`, without the empty line at its end.

        Its job is none of the test's own ones, 1 and 2.
        """
        lines = [
            f"{method} {self.path.format(f'{number + 1_000:016x}')} HTTP/1.1",
            f"Host: {HOST}",
            "Authorization: Bearer key",
            *fields,
        ]
        return "".join(f"{line}\r\n" for line in lines).encode()


ROUTE = Target("entry", "frontend", "/q/{}")
NO_ROUTE = Target("entry", "frontend", "/none/{}")
READINESS = Target("entry", "readiness", "/ready")
AGENT = Target("agent", "control_plane", "/instances/i-{}/heartbeat")
Check = Callable[[Target, Crowd, int], Awaitable[None]]
IDS = {ROUTE: "route", NO_ROUTE: "no_route", READINESS: "readiness", AGENT: "agent"}


def each(*targets: Target) -> pytest.MarkDecorator:
    return pytest.mark.parametrize("target", targets, ids=IDS.get)


async def has_recovered(processes: Processes) -> bool:
    """Return whether the entry is ready again, accepts an ordinary job, and the job completes."""
    try:
        async with asyncio.timeout(WAIT_S):
            url = f"http://{processes.readiness[0]}/ready"
            while (await call("GET", url))[0] != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.1)
            await until_completed(await submit(processes, 2, wait_s=WAIT_S), WAIT_S)
    except TimeoutError:
        return False
    return True


@pytest.fixture
def assert_withstood(tmp_path: Path) -> Check:
    """Return a function that runs a crowd and checks the processes under it and after it."""

    async def check(target: Target, crowd: Crowd, max_fds: int) -> None:
        limits = {role: {"memory_mb": mb, "max_fds": max_fds} for role, mb in MEMORY_MB.items()}
        processes = Processes(tmp_path, entries=1, limits=limits)
        try:
            await processes.start()
            await until_completed(await submit(processes, 1, wait_s=WAIT_S), WAIT_S)
            process = (processes.entries if target.role == "entry" else processes.agents)[0]
            address = target.address(processes)
            usage = Usage(process.pid, address)
            watching = asyncio.create_task(usage.watch())
            await crowd.run(address)
            watching.cancel()
            with suppress(asyncio.CancelledError):
                await watching
            ended = [one.pid for one in processes.running if one.returncode is not None]
            recovers = not ended and await has_recovered(processes)
            measured = f"{usage}, recovers={recovers}, ended={ended}"
            print(measured)
            assert not ended, measured
            assert usage.peak_memory_mb <= MEMORY_MB[target.role], measured
            assert usage.peak_descriptors <= max_fds, measured
            assert recovers, measured
        finally:
            await processes.stop()

    return check


def body_load(target: Target, pieces: Callable[[int], Iterable[bytes]]) -> tuple[Crowd, int]:
    """Return the clients that send bodies to `target`, and the descriptors that it may use.

    No body is read at the readiness listener, where the connections exceed what is allowed.
    """
    if target is READINESS:
        return Crowd(400, pieces, connect_interval_s=CONNECT_INTERVAL_S), FEW_FDS
    return Crowd(400, pieces), MANY_FDS


def declared(length: int) -> str:
    return f"Content-Length: {length}"


@each(ROUTE, NO_ROUTE, READINESS, AGENT)
async def test_whole_bodies_less_one_byte(assert_withstood: Check, target: Target):
    """Guards against unfinished bodies of legal size that are held without a bound in sum."""
    body = b"x" * (MAX_BODY_BYTES - 1)

    def pieces(number: int) -> Iterable[bytes]:
        return [target.head(number, declared(MAX_BODY_BYTES)) + b"\r\n" + body]

    await assert_withstood(target, *body_load(target, pieces))


@each(ROUTE, AGENT)
async def test_bodies_in_small_pieces(assert_withstood: Check, target: Target):
    """Guards against a bound on bodies that doesn't count pieces that arrive one by one."""
    piece = b"x" * 2_048
    count = MAX_BODY_BYTES // len(piece) - 1

    def pieces(number: int) -> Iterator[bytes]:
        yield target.head(number, declared(MAX_BODY_BYTES)) + b"\r\n"
        for _ in range(count):
            yield piece

    await assert_withstood(target, Crowd(400, pieces), MANY_FDS)


@each(ROUTE, READINESS)
async def test_bodies_in_chunks(assert_withstood: Check, target: Target):
    """Guards against unfinished bodies without a declared length, in chunks of 1 KB."""
    chunk = b"400\r\n" + b"x" * 1_024 + b"\r\n"
    body = chunk * (MAX_BODY_BYTES // 1_024 - 1)

    def pieces(number: int) -> Iterable[bytes]:
        return [target.head(number, "Transfer-Encoding: chunked") + b"\r\n" + body]

    await assert_withstood(target, *body_load(target, pieces))


@each(ROUTE, NO_ROUTE, AGENT)
async def test_bodies_far_over_the_limit(assert_withstood: Check, target: Target):
    """Guards against holding bytes of a body whose declared length is far over the limit.

    Most clients stop below 1 MB, from which on the HTTP library refuses a body by itself.
    """
    body = b"x" * 4_194_304

    def pieces(number: int) -> Iterable[bytes]:
        sent = body if number % 4 == 0 else body[:1_000_000]
        return [target.head(number, declared(900_000_000)) + b"\r\n", sent]

    await assert_withstood(target, Crowd(200, pieces), MANY_FDS)


@each(ROUTE, AGENT)
async def test_many_fields_in_bodies(assert_withstood: Check, target: Target):
    """Guards against legal bodies that take far more memory, or time, once they are decoded."""
    start, field = b'{"steps":[{"count":1}', b",{}"
    if target is AGENT:
        start, field = b'{"labels":["a"', b',"a"'
    body = start + field * ((MAX_BODY_BYTES - len(start)) // len(field) - 1) + b"]}"

    def pieces(number: int) -> Iterable[bytes]:
        return [target.head(number, declared(len(body))) + b"\r\n" + body]

    await assert_withstood(target, Crowd(60, pieces), MANY_FDS)


@each(ROUTE, NO_ROUTE, READINESS, AGENT)
async def test_many_fields_in_heads(assert_withstood: Check, target: Target):
    """Guards against heads whose fields are held before any limit applies."""
    fields = b"".join(b"a%x:\r\n" % number for number in range(40_000))

    def pieces(number: int) -> Iterable[bytes]:
        return [target.head(number, method="GET") + fields]

    await assert_withstood(target, Crowd(400, pieces), MANY_FDS)


@each(ROUTE, NO_ROUTE, READINESS, AGENT)
async def test_pipelined_requests_without_reading_responses(
    assert_withstood: Check, target: Target
):
    """Guards against requests and responses that pile up for a client that reads nothing."""

    def pieces(number: int) -> Iterator[bytes]:
        request = target.head(number, method="GET") + b"\r\n"
        for _ in range(30):
            yield request * 100

    await assert_withstood(target, Crowd(400, pieces), MANY_FDS)


@each(ROUTE, READINESS, AGENT)
async def test_clients_that_send_slowly(assert_withstood: Check, target: Target):
    """Guards against connections without a bound in number, each with a head that goes on."""

    def pieces(number: int) -> Iterator[bytes]:
        yield target.head(number, method="GET")
        for _ in range(20):
            yield b"a"

    await assert_withstood(
        target, Crowd(400, pieces, 0.1, connect_interval_s=CONNECT_INTERVAL_S), FEW_FDS
    )


@each(ROUTE, AGENT)
async def test_clients_that_read_slowly(assert_withstood: Check, target: Target):
    """Guards against connections without a bound in number whose responses are hardly read."""

    def pieces(number: int) -> Iterator[bytes]:
        yield (target.head(number, method="GET") + b"\r\n") * 100
        for _ in range(20):
            yield b""

    await assert_withstood(target, Crowd(400, pieces, 0.1, True, CONNECT_INTERVAL_S), FEW_FDS)


@each(ROUTE, NO_ROUTE, READINESS, AGENT)
async def test_clients_that_stop_half_way(assert_withstood: Check, target: Target):
    """Guards against connections without a bound in number that stop within a head or a body."""
    half = b"x" * (MAX_BODY_BYTES // 2)

    def pieces(number: int) -> Iterable[bytes]:
        head = target.head(number, declared(MAX_BODY_BYTES))
        return [head if number % 2 else head + b"\r\n" + half]

    await assert_withstood(
        target, Crowd(400, pieces, connect_interval_s=CONNECT_INTERVAL_S), FEW_FDS
    )
