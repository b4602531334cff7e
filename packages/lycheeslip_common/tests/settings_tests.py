from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from lycheeslip_common.admission.limits import AdmissionLimits
from lycheeslip_common.config import (
    AgentSettings,
    EntrySettings,
    EntryTimes,
    SettingsError,
    load_settings,
)
from lycheeslip_common.config.yaml_lines import read_yaml

ENTRY_SETTINGS = """\
node_id: entry-1
region: north
zone: north-a
http_address: 127.0.0.1:8080
session_address: 127.0.0.1:8081
store_addresses: [127.0.0.1:2379, "[::1]:2379"]
fleet_key: 0123456789abcdefg
"""

AGENT_SETTINGS = """\
node_id: worker-1
region: north
zone: north-a
rack: rack-1
address: 127.0.0.1:0
entry_addresses: [127.0.0.1:8081]
backend_address: 127.0.0.1:9000
fleet_key: 0123456789abcdefg
"""


def load(tmp_path: Path, text: str, declaration=EntrySettings):
    path = tmp_path / "settings.yaml"
    path.write_text(text)
    return load_settings(path, declaration)


def load_problems(tmp_path: Path, text: str, declaration=EntrySettings):
    with pytest.raises(SettingsError) as caught:
        load(tmp_path, text, declaration)
    return [(problem.line, problem.key, problem.message) for problem in caught.value.problems]


def test_entry_settings_have_defaults(tmp_path):
    loaded = load(tmp_path, ENTRY_SETTINGS)
    assert loaded.store_addresses == ("127.0.0.1:2379", "[::1]:2379")
    assert loaded.times == EntryTimes()
    assert loaded.policy_module == "lycheeslip.policy.plan"


def test_blank_section_uses_defaults(tmp_path):
    assert load(tmp_path, ENTRY_SETTINGS + "times:\n").times == EntryTimes()


def test_times_are_read(tmp_path):
    assert load(tmp_path, ENTRY_SETTINGS + "times: {permit_ms: 3000}").times == EntryTimes(
        permit_ms=3000
    )


def test_agent_settings_are_read(tmp_path):
    loaded = load(tmp_path, AGENT_SETTINGS, AgentSettings)
    assert (loaded.rack, loaded.drain_timeout_ms) == ("rack-1", 600_000)


@pytest.mark.parametrize(
    ("line", "key", "message"),
    [
        ("htp_address: x", "htp_address", "unknown key 'htp_address'; did you mean 'http_address'"),
        ("qqq: x", "qqq", "unknown key 'qqq'; known keys: node_id, region"),
        ("zone: other", "zone", "duplicate key, first given in line 3"),
        ("log_level: loud", "log_level", "'debug', 'info', 'warning' or 'error', got 'loud'"),
        ("statsd_address: localhost:8125", "statsd_address", "host must be an IP address"),
        ("statsd_address: 127.0.0.1", "statsd_address", "must be IP:PORT"),
        ("statsd_address: 127.0.0.1:70000", "statsd_address", "must be IP:PORT"),
        ("allow_remote_without_tokens: yes", "allow_remote_without_tokens", "true or false"),
        ("policy_module: not a name", "policy_module", "pattern"),
        ("times: [2500]", "times", "must be a mapping"),
        ("times: {permit: 1}", "times.permit", "did you mean 'permit_ms'"),
        ("times: {permit_ms: '2500'}", "times.permit_ms", "must be a whole number, got '2500'"),
        ("times: {permit_ms: true}", "times.permit_ms", "must be a whole number"),
        ("times: {permit_ms: 60000}", "times.permit_ms", "less than or equal to 10000"),
        ("times: {permit_ms: 900}", "times", "at least twice confirm_every_ms"),
    ],
)
def test_invalid_setting_is_reported_with_line_and_key(tmp_path, line, key, message):
    problems = load_problems(tmp_path, ENTRY_SETTINGS + line)
    assert [(number, path) for number, path, _ in problems] == [(8, key)]
    assert message in problems[0][2]


@pytest.mark.parametrize(
    ("old", "new", "key", "message"),
    [
        ("fleet_key: 0123456789abcdefg", "fleet_key: short", "fleet_key", "at least 16"),
        ("fleet_key: 0123456789abcdefg", "fleet_key: 12345", "fleet_key", "must be text"),
        ("fleet_key: 0123456789abcdefg\n", "", "fleet_key", "is required"),
        ("[127.0.0.1:2379, ", "[127.0.0.1:0, ", "store_addresses.0", "other than 0"),
        ('[127.0.0.1:2379, "[::1]:2379"]', "[]", "store_addresses", "at least 1 item"),
        ('[127.0.0.1:2379, "[::1]:2379"]', "127.0.0.1:9", "store_addresses", "must be a list"),
    ],
)
def test_invalid_required_setting_is_reported(tmp_path, old, new, key, message):
    problems = load_problems(tmp_path, ENTRY_SETTINGS.replace(old, new))
    assert [path for _, path, _ in problems] == [key]
    assert message in problems[0][2]


def test_all_problems_are_reported_in_line_order(tmp_path):
    text = ENTRY_SETTINGS + "log_level: loud\nzone: twice\nhttp: 1\n"
    assert [line for line, _, _ in load_problems(tmp_path, text)] == [8, 9, 10]


@pytest.mark.parametrize(
    ("text", "line", "message"),
    [
        ("a: [1", 1, "not valid YAML"),
        ("a: 1\nb: {c: 2]", 2, "not valid YAML"),
        ("a: &x 1\nb: *x", 2, "aliases are not supported"),
        ("a: b\n---\nc: d", 2, "not valid YAML"),
        ("a: 1\nb: \x01", 2, "not valid YAML"),
        ("- a", 1, "must be a mapping"),
        ("[" * 5000, 1, "nested too deeply"),
    ],
)
def test_malformed_file_is_reported_with_line(tmp_path, text, line, message):
    problems = load_problems(tmp_path, text)
    assert [number for number, _, _ in problems] == [line]
    assert message in problems[0][2]


def test_missing_file_raises_settings_error(tmp_path):
    with pytest.raises(SettingsError, match="can't be read"):
        load_settings(tmp_path / "absent.yaml", EntrySettings)


def test_plain_scalars_follow_yaml_1_2():
    text = "a: 22:00\nb: yes\nc: 2026-01-01\nd: 1.5\ne: -3\nf: true\ng:\nh: 0x10\ni: 1e3"
    value = {"a": "22:00", "b": "yes", "c": "2026-01-01", "d": 1.5, "e": -3, "f": True}
    assert read_yaml(text, "x").value == value | {"g": None, "h": "0x10", "i": "1e3"}


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.text(alphabet=st.sampled_from("ab:-{}[]\n \t'\"&*!#|>%@`,?0.1~\x00\ud800é")))
def test_arbitrary_text_yields_values_or_problems(text):
    document = read_yaml(text, "x")
    assert document.value is not None or document.problems or text.strip() != ""


@pytest.mark.parametrize(
    ("text", "declaration"), [(ENTRY_SETTINGS, EntrySettings), (AGENT_SETTINGS, AgentSettings)]
)
def test_admission_limits_are_read(tmp_path, text, declaration):
    """Guards against a key of the section that is no limit, or a limit without a key."""
    admission = load(tmp_path, text + "admission: {max_connections: 50}\n", declaration).admission
    assert AdmissionLimits(**admission._asdict()).max_connections == 50
    assert admission._fields == AdmissionLimits._fields
    problems = load_problems(tmp_path, text + "admission: {max_head_fields: 1}\n", declaration)
    assert [key for _, key, _ in problems] == ["admission.max_head_fields"]
