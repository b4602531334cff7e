import pytest
import yaml
from lycheeslip_common.config.settings import AgentSettings, SettingsError, load_settings

VALID = {
    "node_id": "w1",
    "region": "r1",
    "zone": "z1",
    "rack": "k1",
    "address": "127.0.0.1:0",
    "entry_addresses": ["127.0.0.1:1"],
    "backend_address": "127.0.0.1:2",
    "fleet_key": "sixteen or more characters",
}


def test_valid_settings_are_loaded(tmp_path):
    path = tmp_path / "agent.yaml"
    path.write_text(yaml.safe_dump(VALID))
    loaded = load_settings(path, AgentSettings)
    assert isinstance(loaded, AgentSettings)
    assert loaded.entry_addresses == ("127.0.0.1:1",)


@pytest.mark.parametrize(
    ("text", "faults"),
    [
        ("a: [", ["agent.yaml"]),
        ("[]", ["must be a mapping"]),
        (yaml.safe_dump({**VALID, "zone": "", "fleet_key": "short"}), ["zone", "fleet_key"]),
        (
            yaml.safe_dump({**VALID, "entry_addresses": [], "other": 1}),
            ["entry_addresses", "other"],
        ),
        (yaml.safe_dump({"zone": "z1"}), ["node_id", "region", "backend_address"]),
    ],
)
def test_all_faults_are_reported_at_once(tmp_path, text, faults):
    path = tmp_path / "agent.yaml"
    path.write_text(text)
    with pytest.raises(SettingsError) as caught:
        load_settings(path, AgentSettings)
    for fault in faults:
        assert fault in str(caught.value)
