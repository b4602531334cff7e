import asyncio
import contextlib

import aiohttp
import pytest
import pytest_asyncio
from lycheeslip_standins.fault_proxy import FaultProxy
from lycheeslip_standins.proxy_route import RouteFaults

NO_RESPONSE_TIMEOUT_S = 0.15


class EchoServer:
    """A server that returns each line unchanged and records the lines received."""

    def __init__(self):
        self.lines = []
        self.closed = asyncio.Event()

    async def handle(self, reader, writer):
        with contextlib.suppress(ConnectionError):
            while line := await reader.readline():
                self.lines.append(line)
                writer.write(line)
                await writer.drain()
        self.closed.set()
        writer.close()


@pytest_asyncio.fixture
async def proxied_echo():
    echo = EchoServer()
    server = await asyncio.start_server(echo.handle, "127.0.0.1", 0)
    proxy = FaultProxy("127.0.0.1:0")
    await proxy.start()
    port = server.sockets[0].getsockname()[1]
    route = await proxy.add_route("echo", f"127.0.0.1:{port}")
    yield echo, proxy, route
    await proxy.stop()
    server.close()


async def _connect(route):
    host, _, port = route.listen.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def _send_line(reader, writer, line):
    writer.write(line)
    return await asyncio.wait_for(reader.readline(), NO_RESPONSE_TIMEOUT_S)


async def test_bytes_and_end_of_stream_are_forwarded_in_both_directions(proxied_echo):
    echo, _, route = proxied_echo
    reader, writer = await _connect(route)
    assert await _send_line(reader, writer, b"one\n") == b"one\n"
    writer.write_eof()
    assert await reader.read() == b""
    await asyncio.wait_for(echo.closed.wait(), 1)


@pytest.mark.parametrize(
    ("faults", "arrives"),
    [
        (RouteFaults(cut_to_target=True), False),
        (RouteFaults(cut_to_client=True), True),
        (RouteFaults(cut_to_target=True, cut_to_client=True), False),
    ],
)
async def test_a_cut_delays_bytes_until_it_ends(proxied_echo, faults, arrives):
    echo, _, route = proxied_echo
    reader, writer = await _connect(route)
    await _send_line(reader, writer, b"one\n")
    await route.set_faults(faults)
    with pytest.raises(TimeoutError):
        await _send_line(reader, writer, b"two\n")
    assert (echo.lines[-1] == b"two\n") is arrives
    await route.set_faults(RouteFaults())
    assert await asyncio.wait_for(reader.readline(), 1) == b"two\n"


@pytest.mark.parametrize(
    ("faults", "arrives"),
    [(RouteFaults(drop_to_target=True), False), (RouteFaults(drop_to_client=True), True)],
)
async def test_connections_that_lost_bytes_are_reset_when_the_drop_ends(
    proxied_echo, faults, arrives
):
    echo, _, route = proxied_echo
    reader, writer = await _connect(route)
    await _send_line(reader, writer, b"one\n")
    await route.set_faults(faults)
    with pytest.raises(TimeoutError):
        await _send_line(reader, writer, b"two\n")
    assert (echo.lines[-1] == b"two\n") is arrives
    await route.set_faults(RouteFaults())
    with pytest.raises(ConnectionError):
        await asyncio.wait_for(reader.readline(), 1)
    reader, writer = await _connect(route)
    assert await _send_line(reader, writer, b"three\n") == b"three\n"


async def test_connections_are_refused_on_the_same_port_until_the_fault_ends(proxied_echo):
    _, _, route = proxied_echo
    reader, writer = await _connect(route)
    await _send_line(reader, writer, b"one\n")
    address = route.listen
    await route.set_faults(RouteFaults(refuse=True))
    with pytest.raises(ConnectionError):
        await reader.readline()
    with pytest.raises(ConnectionRefusedError):
        await _connect(route)
    await route.set_faults(RouteFaults())
    assert route.listen == address
    reader, writer = await _connect(route)
    assert await _send_line(reader, writer, b"two\n") == b"two\n"


async def test_a_request_whose_answer_is_lost_takes_effect(proxied_echo):
    echo, _, route = proxied_echo
    reader, writer = await _connect(route)
    await route.set_faults(RouteFaults(lose_answers=1))
    with pytest.raises(ConnectionError):
        await _send_line(reader, writer, b"one\n")
    assert echo.lines == [b"one\n"]
    reader, writer = await _connect(route)
    assert await _send_line(reader, writer, b"two\n") == b"two\n"


async def test_half_open_delays_the_close_of_a_connection(proxied_echo):
    echo, _, route = proxied_echo
    reader, writer = await _connect(route)
    await _send_line(reader, writer, b"one\n")
    await route.set_faults(RouteFaults(half_open=True))
    writer.close()
    await asyncio.sleep(NO_RESPONSE_TIMEOUT_S)
    assert not echo.closed.is_set()
    await route.set_faults(RouteFaults())
    await asyncio.wait_for(echo.closed.wait(), 1)


async def test_a_connection_is_reset_after_the_configured_number_of_bytes(proxied_echo):
    _, _, route = proxied_echo
    await route.set_faults(RouteFaults(reset_after_bytes=6))
    reader, writer = await _connect(route)
    assert await _send_line(reader, writer, b"12345\n") == b"12345\n"
    with pytest.raises(ConnectionError):
        await _send_line(reader, writer, b"7\n")


async def test_a_delay_does_not_reduce_throughput(proxied_echo):
    _, _, route = proxied_echo
    await route.set_faults(RouteFaults(delay_ms=100))
    reader, writer = await _connect(route)
    started = asyncio.get_running_loop().time()
    for number in range(10):
        writer.write(f"{number}\n".encode())
        await asyncio.sleep(0.01)
    for number in range(10):
        assert await reader.readline() == f"{number}\n".encode()
    elapsed_s = asyncio.get_running_loop().time() - started
    assert 0.2 <= elapsed_s < 0.8


async def test_the_admin_interface_adds_routes_and_sets_faults(proxied_echo):
    _, proxy, route = proxied_echo
    url = f"http://{proxy.admin_address}/routes"
    async with aiohttp.ClientSession() as session:
        body = {"name": "second", "target": route.target}
        async with session.post(url, json=body) as response:
            second = await response.json()
        async with session.post(url, json=body) as response:
            assert response.status == 422
        async with session.post(f"{url}/second/faults", json={"refuse": True}) as response:
            assert (await response.json())["faults"]["refuse"]
        async with session.post(f"{url}/none/reset") as response:
            assert response.status == 404
        async with session.get(url) as response:
            assert set(await response.json()) == {"echo", "second"}
    host, _, port = second["listen"].rpartition(":")
    with pytest.raises(ConnectionRefusedError):
        await asyncio.open_connection(host, int(port))
