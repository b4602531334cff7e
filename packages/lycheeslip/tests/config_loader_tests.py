import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from lycheeslip.config import ConfigError, FleetConfig, Limits, QuietHours, parse_config
from lycheeslip.config.loader import MAX_CONFIG_BYTES
from lycheeslip_common.structure.jobs import Adjacency, Shape

DIGEST = "a" * 64

FULL_CONFIG = f"""\
operator_token_sha256: {"b" * 64}
accounts:
  hooghly:
    guarantee: {{members: 4, accelerators: 2, processors: 2, memory: 16GB, adjacency: same_rack}}
    weight: 2
    token_sha256: {DIGEST}
    max_waiting_jobs: 200
  aotearoa:
zones:
  east-1:
    accelerators: 24
    accelerators_per_worker: 8
    workers_per_rack: 3
    utc_offset: "+05:30"
    quiet_hours:
      - {{from: 22:00, to: "07:00", days: [fri, mon], max_busy_per_rack: 2, throttle: true}}
      - {{from: "00:00", to: "24:00", days: [sun], urgent_exempt: true}}
  east-2: {{in_service: false}}
limits:
  reclaim_grace: 1s
  answer_retention: 2h
"""


def config_problems(text: str):
    with pytest.raises(ConfigError) as caught:
        parse_config(text, source="fleet.yaml")
    return [(problem.line, problem.key, problem.message) for problem in caught.value.problems]


def test_full_configuration_is_parsed():
    config = parse_config(FULL_CONFIG, revision=7)
    account, zone = config.accounts_by_id["hooghly"], config.zones_by_id["east-1"]
    assert config.revision == 7
    assert account.guarantee == Shape(4, 2, 2, 16 * 1024, Adjacency.SAME_RACK)
    assert (account.weight, account.token_sha256, account.max_waiting_jobs) == (2.0, DIGEST, 200)
    assert config.accounts_by_id["aotearoa"].guarantee is None
    assert (zone.accelerators, zone.utc_offset_minutes) == (24, 330)
    assert zone.quiet_hours == (
        QuietHours(1320, 420, (0, 4), 2, throttle=True),
        QuietHours(0, 1440, (6,), urgent_exempt=True),
    )
    assert not config.zones_by_id["east-2"].in_service
    assert config.limits == Limits(reclaim_grace_ms=1_000, answer_retention_s=7_200)


@pytest.mark.parametrize("text", ["", "# nothing yet\n", "accounts:\nzones:\nlimits:\n", "{}"])
def test_empty_file_gives_the_default_configuration(text):
    assert parse_config(text) == FleetConfig()


@pytest.mark.parametrize(
    ("text", "line", "key", "message"),
    [
        ("account: {}", 1, "account", "unknown key 'account'; did you mean 'accounts'?"),
        ("limits: {retries: 1}", 1, "limits.retries", "unknown key 'retries'"),
        ("accounts:\n  a: {wait: 1}", 2, "accounts.a.wait", "did you mean 'weight'"),
        ("accounts:\n  a: {}\n  a: {}", 3, "accounts.a", "duplicate key, first given in line 2"),
        ("accounts:\n  a b: {}", 2, "accounts.a b", "pattern"),
        ("accounts: [a]", 1, "accounts", "must be a mapping"),
        ("accounts: {a: 5}", 1, "accounts.a", "must be a mapping"),
        ("accounts: {a: {guarantee: [1, 2]}}", 1, "accounts.a.guarantee", "must be a mapping"),
        ("accounts: {a: {guarantee: {members: 0}}}", 1, "accounts.a.guarantee.members", "than or"),
        ("accounts: {a: {guarantee: {members: 129}}}", 1, "accounts.a.guarantee.members", "128"),
        ("accounts: {a: {guarantee: {memory: 16}}}", 1, "accounts.a.guarantee.memory", "a unit"),
        ("accounts: {a: {guarantee: {memory: 6GiB}}}", 1, "accounts.a.guarantee.memory", "MB, GB"),
        ("accounts: {a: {guarantee: {memory: 65TB}}}", 1, "accounts.a.guarantee.memory", "less"),
        ("accounts: {a: {guarantee: {adjacency: x}}}", 1, "accounts.a.guarantee.adjacency", "any"),
        ("accounts: {a: {weight: 0}}", 1, "accounts.a.weight", "greater than 0"),
        ("accounts: {a: {weight: .inf}}", 1, "accounts.a.weight", "must be a number"),
        ("accounts: {a: {weight: true}}", 1, "accounts.a.weight", "must be a number"),
        ("accounts: {a: {token_sha256: secret}}", 1, "accounts.a.token_sha256", "pattern"),
        ("accounts: {a: {max_waiting_jobs: 0}}", 1, "accounts.a.max_waiting_jobs", "or equal to 1"),
        ("zones: {z: {in_service: no}}", 1, "zones.z.in_service", "must be true or false"),
        ("zones: {z: {accelerators: -1}}", 1, "zones.z.accelerators", "or equal to 0"),
        ("zones: {z: {accelerators: 1.5}}", 1, "zones.z.accelerators", "whole number"),
        ("zones: {z: {utc_offset: 5}}", 1, "zones.z.utc_offset", "offset from UTC"),
        ("zones: {z: {utc_offset: '+15:00'}}", 1, "zones.z.utc_offset", "-12:00 and +14:00"),
        ("zones: {z: {utc_offset: '+05:60'}}", 1, "zones.z.utc_offset", "-12:00 and +14:00"),
        (
            "zones: {z: {accelerators: 4, accelerators_per_worker: 8}}",
            1,
            "zones.z.accelerators_per_worker",
            "more than the zone's 4",
        ),
        ("zones:\n  z:\n    quiet_hours: [{from: 1:00}]", 3, "zones.z.quiet_hours.0.from", "local"),
        ("zones: {z: {quiet_hours: [{to: '7:00'}]}}", 1, "zones.z.quiet_hours.0.from", "required"),
        ("limits: {reclaim_grace: 800}", 1, "limits.reclaim_grace", "needs a unit, such as 800ms"),
        ("limits: {reclaim_grace: 1min}", 1, "limits.reclaim_grace", "unknown unit 'min'"),
        ("limits: {reclaim_grace: 1.5s}", 1, "limits.reclaim_grace", "whole number with a unit"),
        ("limits: {task_lease: 11m}", 1, "limits.task_lease", "between 1s and 10m; got 11m"),
        ("limits: {gang_lease: 100ms}", 1, "limits.gang_lease", "between 200ms and 60s"),
        ("limits: {retry_budget_ratio: 1.5}", 1, "limits.retry_budget_ratio", "equal to 1"),
        ("limits: {answer_retention: 31d}", 1, "limits.answer_retention", "between 1m and 30d"),
        ("operator_token_sha256: abc", 1, "operator_token_sha256", "pattern"),
        ("survive_zone_loss: 1", 1, "survive_zone_loss", "must be true or false"),
        ("- accounts", 1, "", "must be a mapping"),
        ("accounts: {", 1, "", "not valid YAML"),
        ("#" * (MAX_CONFIG_BYTES + 1), 1, "", "larger than"),
    ],
)
def test_invalid_value_is_rejected_with_line_and_key(text, line, key, message):
    problems = config_problems(text)
    assert (line, key) in [(number, path) for number, path, _ in problems]
    assert message in " ".join(text for _, path, text in problems if path == key)


@pytest.mark.parametrize(
    ("quiet", "key", "message"),
    [
        ("{from: '25:00', to: '07:00'}", "from", "between 00:00 and 24:00"),
        ("{from: '22:60', to: '07:00'}", "from", "between 00:00 and 24:00"),
        ("{from: '22:00', to: '22:00'}", "to", "is the same as from"),
        ("{from: '22:00', to: '07:00', days: []}", "days", "at least 1 item"),
        ("{from: '22:00', to: '07:00', days: [monday]}", "days.0", "'mon', 'tue'"),
        ("{from: '22:00', to: '07:00', max_busy: 1}", "max_busy", "'max_busy_per_rack'"),
        ("{from: '22:00', to: '07:00', from_: 1}", "from_", "did you mean 'from'"),
    ],
)
def test_invalid_quiet_hours_are_rejected(quiet, key, message):
    problems = config_problems(f"zones:\n  z:\n    quiet_hours:\n      - {quiet}\n")
    assert [(line, path) for line, path, _ in problems] == [(4, f"zones.z.quiet_hours.0.{key}")]
    assert message in problems[0][2]


def test_all_problems_are_reported_in_line_order():
    text = "limits: {task_lease: 1}\nzones:\n  z: {in_service: x}\naccounts:\n  a: {b: 1}\n"
    assert [line for line, _, _ in config_problems(text)] == [1, 3, 5]


def test_same_token_for_account_and_operators_is_rejected():
    text = f"operator_token_sha256: {DIGEST}\naccounts:\n  a: {{token_sha256: {DIGEST}}}\n"
    message = "is the same token as operator_token_sha256"
    assert config_problems(text) == [(3, "accounts.a.token_sha256", message)]


def test_account_tokens_without_an_operator_token_are_rejected():
    text = f"accounts:\n  a:\n    token_sha256: {DIGEST}\n"
    message = "needs operator_token_sha256 too, or nobody can apply the next configuration"
    assert config_problems(text) == [(3, "accounts.a.token_sha256", message)]


HARDWARE = "{accelerators: 16, accelerators_per_worker: 8, workers_per_rack: 2}"
TWO_ZONES = f"zones:\n  x: {HARDWARE}\n  y: {HARDWARE}\n"


def guarantees(*shapes: str) -> str:
    lines = [f"  a{index}: {{guarantee: {shape}}}\n" for index, shape in enumerate(shapes)]
    return "accounts:\n" + "".join(lines)


@pytest.mark.parametrize(
    "text",
    [
        guarantees("{members: 4, accelerators: 8}") + TWO_ZONES,
        guarantees("{members: 2, accelerators: 8, adjacency: same_rack}") + TWO_ZONES,
        guarantees("{members: 8, accelerators: 1, adjacency: same_worker}") + TWO_ZONES,
        guarantees("{members: 2, accelerators: 8}") + TWO_ZONES + "survive_zone_loss: true",
        guarantees("{members: 9, accelerators: 64}"),
        guarantees("{members: 9, accelerators: 64}") + "zones: {x: {}}",
        guarantees("{members: 9, accelerators: 0, adjacency: same_worker}") + TWO_ZONES,
    ],
)
def test_satisfiable_guarantee_is_accepted(text):
    parse_config(text)


@pytest.mark.parametrize(
    ("text", "line", "key", "message"),
    [
        (
            guarantees("{members: 3, accelerators: 3, adjacency: same_worker}") + TWO_ZONES,
            2,
            "accounts.a0.guarantee",
            "no worker in service holds 3 members with 3 accelerators each",
        ),
        (
            guarantees("{members: 3, accelerators: 5, adjacency: same_rack}") + TWO_ZONES,
            2,
            "accounts.a0.guarantee",
            "no rack in service holds 3 members with 5 accelerators each",
        ),
        (
            guarantees("{members: 5, accelerators: 5}") + TWO_ZONES,
            2,
            "accounts.a0.guarantee",
            "the workers in service can't hold 5 members with 5 accelerators each",
        ),
        (
            guarantees("{members: 2, accelerators: 8}", "{members: 17}") + TWO_ZONES,
            1,
            "accounts",
            "guarantees add up to 33 accelerators, but 32 are in service",
        ),
        (
            guarantees("{members: 17}") + f"zones:\n  x: {HARDWARE}\n  y: {{in_service: false}}",
            2,
            "accounts.a0.guarantee",
            "the workers in service can't hold 17 members",
        ),
        (
            guarantees("{members: 9}", "{members: 8}") + TWO_ZONES + "survive_zone_loss: true",
            1,
            "accounts",
            "add up to 17 accelerators, but 16 are left after the loss of zone x",
        ),
        (
            guarantees("{members: 1}") + f"zones: {{x: {HARDWARE}}}\nsurvive_zone_loss: true",
            2,
            "accounts.a0.guarantee",
            "the workers left after the loss of zone x can't hold",
        ),
    ],
)
def test_unsatisfiable_guarantee_is_rejected(text, line, key, message):
    problems = config_problems(text)
    assert [(number, path) for number, path, _ in problems] == [(line, key)]
    assert message in problems[0][2]


def test_zone_can_be_taken_out_of_service_if_guarantees_survive_its_loss():
    text = guarantees("{members: 2, accelerators: 8}") + TWO_ZONES + "survive_zone_loss: true\n"
    taken_out = text.replace("y: {", "y: {in_service: false, ")
    assert not parse_config(taken_out).zones_by_id["y"].in_service


KEYS = st.sampled_from(
    ["accounts", "zones", "limits", "a", "z", "guarantee", "members", "memory", "quiet_hours"]
    + ["from", "to", "days", "in_service", "accelerators", "weight", "task_lease", "~", ""]
)
VALUES = st.recursive(
    st.sampled_from(["1", "-1", "16GB", "10s", "true", "null", "'22:00'", "mon", "1e9", ".5", "é"]),
    lambda inner: st.lists(inner, max_size=3).map(lambda items: f"[{', '.join(items)}]")
    | st.lists(st.tuples(KEYS, inner), max_size=4).map(
        lambda pairs: "{" + ", ".join(f"? {key}\n : {value}" for key, value in pairs) + "}"
    ),
    max_leaves=12,
)


def check_accepted_or_refused(text: str) -> None:
    problems = find_problems(text)
    last_line = text.count("\n") + 2
    assert all(1 <= problem.line <= last_line and problem.message for problem in problems)


def find_problems(text: str):
    try:
        parse_config(text)
    except ConfigError as error:
        return error.problems or ["ConfigError without problems"]
    return []


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.dictionaries(KEYS, VALUES, max_size=4))
def test_random_structure_is_accepted_or_rejected(value_by_key):
    check_accepted_or_refused("".join(f"{key}: {value}\n" for key, value in value_by_key.items()))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.integers(0, len(FULL_CONFIG) - 1), st.text(max_size=3))
def test_corrupted_file_is_accepted_or_rejected(position, inserted):
    check_accepted_or_refused(FULL_CONFIG[:position] + inserted + FULL_CONFIG[position + 1 :])
