"""Tests of the settings that the platform gives to each process."""

import pytest
from lycheeslip.dispatch.leadership import WEAK_DELAY_MS, campaign_delay_ms
from lycheeslip_common.admission.limits import derive_limits
from lycheeslip_platform.boot import BootError, load_boot_settings

SETTINGS = """\
node_name = "edge-1"
zone = "zone-a"
ip = "10.1.0.1"
port_range = [7000, 7015]
[platform]
address = "10.2.0.1:8524"
"""


def load(tmp_path, more=""):
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS + more)
    return load_boot_settings(str(path))


@pytest.mark.parametrize(
    ("limits", "delay_ms"),
    [
        ("", 0),
        ("[limits]\ncpu_share = 0.717\ncores = 3\n", 0),
        ("[limits]\ncpu_share = 0.516\ncores = 1\n", WEAK_DELAY_MS),
    ],
)
def test_weak_instances_leave_the_lead_to_others(tmp_path, limits, delay_ms):
    assert campaign_delay_ms(load(tmp_path, limits).processor) == delay_ms


def test_unusable_limit_is_named(tmp_path):
    with pytest.raises(BootError, match="cpu_share"):
        load(tmp_path, '[limits]\ncpu_share = "all"\n')


@pytest.mark.parametrize(
    ("bounds", "checkpoint_ms"),
    [("", 1_000), ("[bounds]\ncheckpoint_s = 0.5\n", 500), ("[bounds]\ncheckpoint_s = 2\n", 2_000)],
)
def test_interval_of_checkpoints_is_that_of_the_deployment(tmp_path, bounds, checkpoint_ms):
    assert load(tmp_path, bounds).times.checkpoint_ms == checkpoint_ms


def test_limits_on_clients_follow_from_the_machine(tmp_path):
    small, large = (
        load(tmp_path, f"[limits]\nmemory_mb = {memory_mb}\nmax_fds = 2000\n").admission
        for memory_mb in (80, 400)
    )
    assert small.max_held_bytes < large.max_held_bytes
    assert small.max_connections < large.max_connections < 2_000 - 200


def test_absent_limits_are_those_of_the_smallest_machine(tmp_path):
    assert load(tmp_path).admission == derive_limits(200, 4_096)


@pytest.mark.parametrize("limit", ["memory_mb = 0", "max_fds = -1", 'max_fds = "all"'])
def test_unusable_limit_of_the_machine_is_named(tmp_path, limit):
    with pytest.raises(BootError, match=limit.split()[0]):
        load(tmp_path, f"[limits]\n{limit}\n")
