import pytest
from lycheeslip.config import FleetConfig, parse_config
from lycheeslip.config.diff import describe_changes


def changes(before: str, after: str) -> list[str]:
    described = describe_changes(parse_config(before), parse_config(after))
    return [str(change) for change in described]


@pytest.mark.parametrize(
    ("before", "after", "expected"),
    [
        ("zones: {z: {}}", "zones: {z: {in_service: false}}", "zone z: taken out of service"),
        ("zones: {z: {in_service: false}}", "zones: {z: {}}", "zone z: brought back into service"),
        ("", "zones: {z: {}}", "zone z: added, in service, 0 accelerators declared"),
        ("zones: {z: {}}", "", "zone z: removed"),
        (
            "zones: {z: {utc_offset: '+05:30'}}",
            "zones: {z: {utc_offset: '-09:30'}}",
            "zone z: offset from UTC from +05:30 to -09:30",
        ),
        (
            "zones: {z: {}}",
            "zones: {z: {quiet_hours: [{from: '22:00', to: '07:00', days: [mon], throttle: true,"
            " urgent_exempt: true}]}}",
            "zone z: quiet hours added: 22:00 to 07:00 on mon, at most 0 accelerators per rack, "
            "throttled, urgent work exempt",
        ),
        (
            "zones: {z: {quiet_hours: [{from: '00:00', to: '24:00'}]}}",
            "zones: {z: {}}",
            "zone z: quiet hours removed: 00:00 to 24:00 every day, "
            "at most 0 accelerators per rack",
        ),
        ("", "accounts: {a: {}}", "account a: added"),
        ("accounts: {a: {}}", "", "account a: removed"),
        (
            "accounts: {a: {guarantee: {members: 4, memory: 16GB, adjacency: same_rack}}}",
            "accounts: {a: {}}",
            "account a: guarantee from 4 members with 1 accelerators, 1 processors, 16GB each, "
            "same rack to none",
        ),
        ("accounts: {a: {}}", "accounts: {a: {weight: 2}}", "account a: weight from 1 to 2"),
        (
            f"operator_token_sha256: {'b' * 64}\naccounts: {{a: {{}}}}",
            f"operator_token_sha256: {'b' * 64}\naccounts: {{a: {{token_sha256: {'a' * 64}}}}}",
            "account a: token declared",
        ),
        (
            f"operator_token_sha256: {'a' * 64}",
            f"operator_token_sha256: {'b' * 64}",
            "operators: token changed",
        ),
        (f"operator_token_sha256: {'a' * 64}", "", "operators: token withdrawn"),
        ("", "limits: {task_lease: 1m}", "limits: task lease from 10s to 1m"),
        ("", "limits: {answer_retention: 2h}", "limits: answer retention from 1d to 2h"),
        (
            "",
            "survive_zone_loss: true",
            "guarantees: must hold after the loss of any one zone",
        ),
    ],
)
def test_change_is_described(before, after, expected):
    assert changes(before, after) == [expected]


def test_equal_configurations_have_no_changes():
    assert describe_changes(FleetConfig(revision=1), FleetConfig(revision=2)) == []
