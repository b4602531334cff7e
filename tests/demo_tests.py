import asyncio
import sys

import pytest

pytestmark = pytest.mark.processes

DEMO_TIMEOUT_S = 60


async def test_demo_answers_every_request_without_a_violation():
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "lycheeslip_standins.demo", stdout=asyncio.subprocess.PIPE
    )
    async with asyncio.timeout(DEMO_TIMEOUT_S):
        output, _ = await process.communicate()
    assert (process.returncode, b"FAIL" in output) == (0, False), output.decode()
