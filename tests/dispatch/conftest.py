"""Fixtures of the dispatch tests."""

from collections.abc import AsyncIterator, Callable, Iterator

import pytest
import pytest_asyncio
from lycheeslip_standins.addresses import ReservedAddresses

from tests.harness.platform_cell import Cell


@pytest_asyncio.fixture
async def cell(free_port: Callable[[], int]) -> AsyncIterator[Cell]:
    async with Cell(free_port) as running:
        yield running


@pytest.fixture
def free_port() -> Iterator[Callable[[], int]]:
    addresses = ReservedAddresses()
    yield addresses.take_port
    addresses.release()
