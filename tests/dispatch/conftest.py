"""Fixtures of the dispatch tests."""

import socket
from collections.abc import AsyncIterator, Callable

import pytest_asyncio

from tests.harness.platform_cell import Cell


@pytest_asyncio.fixture
async def cell(free_port: Callable[[], int]) -> AsyncIterator[Cell]:
    async with Cell(free_port) as running:
        yield running


@pytest_asyncio.fixture
async def free_port() -> Callable[[], int]:
    def find_free_port() -> int:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            return probe.getsockname()[1]

    return find_free_port
