"""Decoding of the keys that operators write, with valid and invalid values."""

import msgspec
import pytest
from lycheeslip_common.store.outcomes import KeyValue
from lycheeslip_common.workload.operator import ClientLimits, ConfigChange, ZoneChange
from lycheeslip_platform.operator_keys import decode_operator_key

ROUTE = {
    "name": "r-1",
    "host": "a.example",
    "prefix": "/p/",
    "kind": "non_idempotent",
    "timeout_ms": 3000,
    "target_latency_ms": 250,
    "service": "s1",
    "attempts": 4,
    "stretch": 1.5,
}
CONFIG = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "s1", "health_path": "/health"}, {"name": "s2", "standby": True}],
    "tenants": [{"name": "t1", "api_keys": ["k1", "k2"], "guaranteed": {"gpu": 16}}],
}


def decode_config(document: object) -> ConfigChange | ZoneChange | None:
    value = document if isinstance(document, bytes) else msgspec.json.encode(document)
    return decode_operator_key(KeyValue("op/config", value, 12), False)


def test_limits_on_connections_are_decoded_and_unusable_ones_passed_over():
    """Guards against a configuration that is ignored for a limit that nobody read before."""
    limits = {"max_header_bytes": 8_192, "header_timeout_ms": "3s", "idle_timeout_ms": -1}
    change = decode_config(CONFIG | {"limits": limits})
    assert isinstance(change, ConfigChange)
    assert change.config.client_limits == ClientLimits(max_header_bytes=8_192)


def test_valid_configuration_is_decoded():
    change = decode_config(CONFIG)
    assert isinstance(change, ConfigChange)
    config = change.config
    assert (config.version, config.revision) == (7, 12)
    assert config.max_body_bytes == 262_144
    assert config.client_limits == ClientLimits()
    account = config.account_of("k2")
    assert account is not None
    assert account.guaranteed == 16
    queue = config.queue_for("a.example", "/p/0123456789abcdef")
    assert queue is not None
    assert (queue.attempts, queue.priority, queue.advice) == (4, 0, None)


@pytest.mark.parametrize(
    "document",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        {"routes": []},
        {**CONFIG, "version": "seven"},
        {**CONFIG, "routes": [{"name": "r-1"}]},
        {**CONFIG, "tenants": [{"name": "t1", "api_keys": 3}]},
    ],
)
def test_invalid_configuration_is_ignored(document: object):
    assert decode_config(document) is None


def test_longest_matching_prefix_selects_the_queue():
    routes = [ROUTE, {**ROUTE, "name": "r-2", "prefix": "/p/q/"}]
    change = decode_config({**CONFIG, "routes": routes})
    assert isinstance(change, ConfigChange)
    assert change.config.queue_for("a.example", "/p/q/0").name == "r-2"
    assert change.config.queue_for("a.example", "/x") is None
    assert change.config.queue_for("b.example", "/p/") is None


def test_evacuation_key_evacuates_zone_until_deleted():
    item = KeyValue("op/evacuate/zone-a", b"{}", 3)
    assert decode_operator_key(item, False) == ZoneChange("zone-a", True)
    assert decode_operator_key(item, True) == ZoneChange("zone-a", False)


@pytest.mark.parametrize("key", ["op/other", "op/wave/1", "lycheeslip/leader"])
def test_other_keys_are_ignored(key: str):
    assert decode_operator_key(KeyValue(key, b"{}", 3), False) is None
