import hashlib
import re
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from lycheeslip.config.loader import parse_located_config
from lycheeslip.config_checks import CHANGE_CHECKS, CHECKS, find_change_findings, find_findings
from lycheeslip.config_checks import guarantees as guarantee_checks
from lycheeslip.policy.quiet import active_rule
from lycheeslip_standins.demo_workload import configuration

CLI_PAGE = Path(__file__).parents[3] / "docs/reference/cli.md"
EMPTY = hashlib.sha256(b"").hexdigest()
OPERATOR = f"operator_token_sha256: {'b' * 64}\n"
TOKEN = f"token_sha256: {'a' * 64}"
HARDWARE = "accelerators: 16, accelerators_per_worker: 8"
ZONE = f"zones: {{x: {{{HARDWARE}}}}}\n"
MINUTE_MS = 60_000


def account(*items: str) -> str:
    return "accounts:\n" + "".join(f"  a{i}: {{{item}}}\n" for i, item in enumerate(items))


def guarantee(*shapes: str) -> str:
    return account(*(f"guarantee: {{{shape}}}" for shape in shapes))


def quiet(*windows: str, zone: str = HARDWARE) -> str:
    lines = "".join(f"      - {{{window}}}\n" for window in windows)
    return f"zones:\n  x:\n    {zone.replace(', ', chr(10) + '    ')}\n    quiet_hours:\n{lines}"


def found(text: str, before: str | None = None) -> list[tuple[str, int, str]]:
    located = parse_located_config(text, "fleet.yaml")
    if before is None:
        findings = find_findings(located)
    else:
        findings = find_change_findings(parse_located_config(before), located)
    assert all(finding.message and finding.source == "fleet.yaml" for finding in findings)
    return [(finding.code, finding.line, finding.key) for finding in findings]


NIGHT = "from: '22:00', to: '07:00'"
ALL_DAY = "from: '00:00', to: '24:00'"
BOUND = "max_waiting_jobs"
GANG = "members: 40, accelerators: 1"
LARGE_ZONE = "zones: {x: {accelerators: 64, accelerators_per_worker: 8}}\n"
RETENTION = "limits: {answer_retention: 1m, task_lease: 2m}"

FOUND = [
    ("empty_token", f"operator_token_sha256: {EMPTY}", 1, "operator_token_sha256"),
    ("empty_token", OPERATOR + account(f"token_sha256: {EMPTY}"), 3, "accounts.a0.token_sha256"),
    ("account_without_token", OPERATOR + account(TOKEN, ""), 4, "accounts.a1"),
    ("weight_of_only_account", account("weight: 2"), 2, "accounts.a0.weight"),
    ("account_queue_above_fleet", account(f"{BOUND}: 5001"), 2, f"accounts.a0.{BOUND}"),
    ("account_queue_above_fleet", account("") + f"limits: {{{BOUND}: 9}}", 3, f"limits.{BOUND}"),
    (
        "fleet_queue_unreachable",
        account("", "") + f"limits: {{{BOUND}: 2001}}",
        4,
        f"limits.{BOUND}",
    ),
    ("guarantee_without_accelerators", guarantee("accelerators: 0"), 2, "accounts.a0.guarantee"),
    (
        "adjacency_without_gang",
        guarantee("adjacency: same_rack"),
        2,
        "accounts.a0.guarantee.adjacency",
    ),
    (
        "guarantees_not_checked",
        guarantee("") + f"zones:\n  x: {{}}\n  y: {{{HARDWARE}}}",
        4,
        "zones.x",
    ),
    (
        "guarantee_without_homes",
        ZONE + guarantee("accelerators: 5", "accelerators: 5", "accelerators: 4"),
        5,
        "accounts.a2.guarantee",
    ),
    (
        "guarantee_without_homes",
        f"zones:\n  x: {{{HARDWARE}}}\n  y: {{{HARDWARE}}}\nsurvive_zone_loss: true\n"
        + guarantee("accelerators: 5", "accelerators: 5", "accelerators: 4"),
        8,
        "accounts.a2.guarantee",
    ),
    (
        "guarantee_shape_refused",
        guarantee("members: 9, adjacency: same_worker")
        + "zones: {x: {accelerators: 16, accelerators_per_worker: 16}}",
        2,
        "accounts.a0.guarantee",
    ),
    ("survive_zone_loss_unused", "survive_zone_loss: true", 1, "survive_zone_loss"),
    ("no_zone_in_service", "\nzones: {x: {in_service: false}}", 2, "zones"),
    ("workers_not_declared", "zones: {x: {accelerators: 8}}", 1, "zones.x.accelerators"),
    (
        "partial_worker",
        "zones: {x: {accelerators: 9, accelerators_per_worker: 8}}",
        1,
        "zones.x.accelerators",
    ),
    ("rack_without_workers", "zones: {x: {workers_per_rack: 2}}", 1, "zones.x.workers_per_rack"),
    (
        "rack_above_zone",
        f"zones: {{x: {{{HARDWARE}, workers_per_rack: 3}}}}",
        1,
        "zones.x.workers_per_rack",
    ),
    (
        "quiet_hours_empty",
        quiet("from: '24:00', to: '00:00', days: [mon]"),
        6,
        "zones.x.quiet_hours.0.from",
    ),
    ("quiet_hours_next_day", quiet("from: '24:00', to: '07:00'"), 6, "zones.x.quiet_hours.0.from"),
    ("quiet_hours_covered", quiet(NIGHT, NIGHT), 7, "zones.x.quiet_hours.1"),
    (
        "quiet_hours_covered",
        quiet("from: '23:00', to: '06:00', max_busy_per_rack: 1", NIGHT),
        6,
        "zones.x.quiet_hours.0",
    ),
    (
        "urgent_exempt_overridden",
        quiet(f"{NIGHT}, urgent_exempt: true", f"{NIGHT}, max_busy_per_rack: 2"),
        6,
        "zones.x.quiet_hours.0.urgent_exempt",
    ),
    (
        "quiet_hours_limit_nothing",
        quiet(f"{NIGHT}, max_busy_per_rack: 8", zone=f"{HARDWARE}, workers_per_rack: 1"),
        7,
        "zones.x.quiet_hours.0.max_busy_per_rack",
    ),
    ("zone_always_quiet", quiet(ALL_DAY), 5, "zones.x.quiet_hours"),
    ("gang_lease_below_members", guarantee(GANG) + LARGE_ZONE, 1, "limits.gang_lease"),
    ("retention_below_lease", RETENTION, 1, "limits.answer_retention"),
    (
        "retry_budget_unused",
        "limits: {max_attempts: 1, retry_budget_ratio: 0.2}",
        1,
        "limits.retry_budget_ratio",
    ),
]


@pytest.mark.parametrize(("code", "text", "line", "key"), FOUND)
def test_finding_is_the_only_one_and_names_line_and_key(code, text, line, key):
    assert found(text) == [(code, line, key)]


def test_single_zone_cannot_survive_its_loss():
    codes = [
        code for code, _, _ in found(guarantee("") + "zones: {x: {}}\nsurvive_zone_loss: true")
    ]
    assert codes == ["guarantees_not_checked", "survive_zone_loss_single_zone"]


def test_large_configuration_is_reported_as_unchecked(monkeypatch):
    monkeypatch.setattr(guarantee_checks, "MAX_HOME_TRIALS", 1)
    assert found(guarantee("") + ZONE) == [("guarantees_not_checked", 1, "accounts")]


@pytest.mark.parametrize(
    "text",
    [
        "",
        configuration(),
        configuration(out_of_service="zone-1"),
        OPERATOR + account(TOKEN) + ZONE,
        account("weight: 2", "weight: 3", f"{BOUND}: 5000"),
        account("", "") + f"limits: {{{BOUND}: 2000}}",
        guarantee("accelerators: 5", "accelerators: 5", "accelerators: 3") + ZONE,
        guarantee("members: 30") + LARGE_ZONE,
        guarantee("members: 40") + LARGE_ZONE + "limits: {gang_lease: 2s}",
        guarantee("", "") + f"zones: {{x: {{{HARDWARE}}}, y: {{in_service: false}}}}",
        # Hours that aren't covered: throttled ones, those of other days, and those with an end
        # that no other covers.
        quiet(f"{NIGHT}, throttle: true, max_busy_per_rack: 1", NIGHT),
        quiet(f"{NIGHT}, days: [mon]", f"{NIGHT}, days: [tue]"),
        quiet("from: '21:00', to: '06:00'", NIGHT),
        quiet(f"{NIGHT}, urgent_exempt: true", "from: '22:00', to: '06:00', max_busy_per_rack: 1"),
        quiet(f"{ALL_DAY}, urgent_exempt: true"),
        quiet(f"{ALL_DAY}, max_busy_per_rack: 1"),
        quiet(f"{NIGHT}, max_busy_per_rack: 16, throttle: true"),
        "limits: {answer_retention: 2m, task_lease: 2m}",
        "limits: {max_attempts: 1, retry_budget_ratio: 0}",
    ],
)
def test_consistent_configuration_has_no_finding(text):
    assert found(text) == []


CLOSE = "accelerators: 2, members: 2, adjacency: same_rack"
CHANGES = [
    ("guarantee_reduced", guarantee(CLOSE), account(""), 2, "accounts.a0.guarantee"),
    (
        "guarantee_reduced",
        guarantee(CLOSE),
        guarantee("accelerators: 1, members: 4, adjacency: same_rack"),
        2,
        "accounts.a0.guarantee",
    ),
    (
        "guarantee_reduced",
        guarantee(CLOSE),
        guarantee("accelerators: 2, members: 2"),
        2,
        "accounts.a0.guarantee",
    ),
    ("account_removed", guarantee("", ""), guarantee(""), 1, "accounts.a1"),
    ("account_removed", OPERATOR + account(TOKEN), OPERATOR, 1, "accounts.a0"),
    ("zone_removed", "zones: {x: {}, y: {}}", "zones: {x: {}}", 1, "zones.y"),
    ("all_zones_removed", "zones: {x: {in_service: false}}", "", 1, "zones"),
    ("first_zones", "", "zones: {x: {}}", 1, "zones"),
    ("first_accounts", "", account(""), 1, "accounts"),
    ("token_replaced", OPERATOR, OPERATOR.replace("b", "c"), 1, "operator_token_sha256"),
    (
        "token_replaced",
        OPERATOR + account(TOKEN),
        OPERATOR + account(""),
        3,
        "accounts.a0.token_sha256",
    ),
    ("tokens_withdrawn", OPERATOR, "", 1, "operator_token_sha256"),
    ("first_tokens", "", OPERATOR, 1, "operator_token_sha256"),
]


@pytest.mark.parametrize(("code", "before", "after", "line", "key"), CHANGES)
def test_change_that_needs_attention_is_found(code, before, after, line, key):
    assert found(after, before) == [(code, line, key)]


@pytest.mark.parametrize(
    ("before", "after"),
    [
        (guarantee(CLOSE), guarantee("accelerators: 2, members: 3, adjacency: same_worker")),
        (account("", ""), account("")),
        ("zones: {x: {}, y: {in_service: false}}", "zones: {x: {}}"),
        ("zones: {x: {}}", ""),
        ("zones: {x: {}}", "zones: {x: {in_service: false}}"),
        (OPERATOR + account(TOKEN), OPERATOR + account(TOKEN, TOKEN.replace("a" * 64, "c" * 64))),
    ],
)
def test_other_change_needs_no_attention(before, after):
    assert found(after, before) == []


WINDOWS = st.fixed_dictionaries(
    {
        "from": st.sampled_from(["'00:00'", "'06:00'", "'12:00'", "'18:00'", "'24:00'"]),
        "to": st.sampled_from(["'01:00'", "'07:00'", "'13:00'", "'19:00'", "'23:00'"]),
        "days": st.sampled_from(["[mon]", "[sun]", "[sun, mon, sat]", "[mon, tue, wed]"]),
        "max_busy_per_rack": st.sampled_from(["0", "1"]),
        "throttle": st.sampled_from(["true", "false"]),
        "urgent_exempt": st.sampled_from(["true", "false"]),
    }
).map(lambda keys: ", ".join(f"{key}: {value}" for key, value in keys.items()))


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(WINDOWS, min_size=2, max_size=6))
def test_removing_covered_quiet_hours_changes_no_rule(windows):
    zone = parse_located_config(quiet(*windows)).config.zones_by_id["x"]
    covered = {
        int(key.split(".")[3])
        for code, _, key in found(quiet(*windows))
        if code == "quiet_hours_covered"
    }
    kept = tuple(item for index, item in enumerate(zone.quiet_hours) if index not in covered)
    for half_hour in range(7 * 48):
        now_ms = half_hour * 30 * MINUTE_MS
        assert active_rule(zone, now_ms) == active_rule(zone._replace(quiet_hours=kept), now_ms)


def test_reference_lists_every_finding_with_its_severity():
    rows = re.findall(r"^\| `(\w+)` \| (error|warning) \|", CLI_PAGE.read_text(), re.MULTILINE)
    assert rows == [(check.code, check.severity) for check in (*CHECKS, *CHANGE_CHECKS)]
    assert len(dict(rows)) == len(rows)
