"""The platform's names occur in the adapter only, and the adapter stays small."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PRODUCT = ("lycheeslip", "lycheeslip_agent", "lycheeslip_common")
PLATFORM_NAMES = (
    "kv-key",
    "kv-range",
    "kv-watch",
    "kv-txn",
    "kv-lease",
    "kv-keep",
    "run-start",
    "run-stop",
    "op/config",
    "op/evacuate",
    "fencing_token",
    "last_seen",
    "expected_rev",
    "has_more",
    "as_of",
    "mem_mb",
    "api_keys",
    "target_latency_ms",
    "anti_affinity",
    "estimate_ms_",
    "repeat_count",
    "start_at_ms",
    "heartbeat_addr",
    "deregister",
    "Expected-Instance",
    "Deadline-Ms",
    "LYCHEESLIP_SETTINGS",
    "lycheeslip_platform",
)
MAX_SHARE = 0.1


def sources(*roots: Path) -> list[Path]:
    return [path for root in roots for path in root.rglob("*.py") if "tests" not in path.parts]


def product_sources() -> list[Path]:
    return sources(*(ROOT / "packages" / name / name for name in PRODUCT))


@pytest.mark.parametrize("name", PLATFORM_NAMES)
def test_product_does_not_use_names_of_the_platform(name: str):
    pattern = re.compile(rf"(?<![\w]){re.escape(name)}(?![\w])")
    found = [str(path) for path in product_sources() if pattern.search(path.read_text())]
    assert found == []


def test_adapter_is_less_than_a_tenth_of_the_product():
    def lines(paths: list[Path]) -> int:
        return sum(len(path.read_text().splitlines()) for path in paths)

    assert lines(sources(ROOT / "platform")) < MAX_SHARE * lines(product_sources())
