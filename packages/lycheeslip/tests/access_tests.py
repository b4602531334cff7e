from hashlib import sha256

import pytest
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer
from lycheeslip.config.loader import parse_config
from lycheeslip.entry.blackboard import AppliedConfig, Blackboard
from lycheeslip.http.access import make_middleware
from lycheeslip_common.structure.fleet import EntryInfo
from lycheeslip_common.utils.metrics import Metrics

LOOPBACK = "127.0.0.1:1"
REMOTE = "192.0.2.1:1"
OPERATOR = "operator-token"
CALLER = "caller-token"
TOKENS = f"""
operator_token_sha256: {sha256(OPERATOR.encode()).hexdigest()}
accounts:
  kite: {{token_sha256: {sha256(CALLER.encode()).hexdigest()}}}
"""


async def fetch_status(address, path, token="", config="", allow_remote=False):
    board = Blackboard(EntryInfo("e1", "r", "z", address, ""), Metrics())
    board.applied = AppliedConfig(parse_config(config, revision=1), config, 1, 1)
    app = web.Application(middlewares=[make_middleware(board, allow_remote)])

    async def handle(_):
        return web.json_response({})

    app.router.add_get("/{tail:.*}", handle)
    async with TestClient(TestServer(app)) as client:
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        async with client.get(path, headers=headers) as response:
            return response.status


@pytest.mark.parametrize(
    ("case", "status"),
    [
        ({"address": LOOPBACK, "path": "/v1/fleet"}, 200),
        ({"address": REMOTE, "path": "/v1/fleet"}, 403),
        ({"address": REMOTE, "path": "/v1/fleet", "allow_remote": True}, 200),
        ({"address": REMOTE, "path": "/healthz"}, 200),
        ({"address": REMOTE, "path": "/v1/jobs", "config": TOKENS}, 401),
        ({"address": REMOTE, "path": "/v1/jobs", "config": TOKENS, "token": "wrong"}, 401),
        ({"address": REMOTE, "path": "/v1/jobs", "config": TOKENS, "token": CALLER}, 200),
        ({"address": REMOTE, "path": "/v1/config", "config": TOKENS, "token": CALLER}, 403),
        ({"address": REMOTE, "path": "/v1/config", "config": TOKENS, "token": OPERATOR}, 200),
        ({"address": REMOTE, "path": "/readyz", "config": TOKENS}, 200),
    ],
)
async def test_status_depends_on_address_path_and_token(case, status):
    assert await fetch_status(**case) == status
