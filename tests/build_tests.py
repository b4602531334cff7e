"""Checks that processes can start from a checkout while it is being built again."""

import json
import re
import shutil
import subprocess
import sys
import threading
from importlib.metadata import PackageNotFoundError, requires
from pathlib import Path

import pytest

pytestmark = pytest.mark.processes

ROOT = Path(__file__).parents[1]
SOURCES = (
    "packages/lycheeslip_common/lycheeslip_common",
    "packages/lycheeslip/lycheeslip",
    "packages/lycheeslip_agent/lycheeslip_agent",
    "platform/lycheeslip_platform",
)
# without the site packages, so that nothing but the build can provide the modules
IMPORTS = "import lycheeslip_common.utils.retry, lycheeslip_platform, lycheeslip_agent, lycheeslip"
BUILDS = 4


@pytest.fixture
def checkout(tmp_path: Path) -> Path:
    """Return a checkout whose libraries are installed already."""
    for source in SOURCES:
        shutil.copytree(ROOT / source, tmp_path / source)
    shutil.copytree(ROOT / "deploy", tmp_path / "deploy")
    shutil.copy(ROOT / "constraints.txt", tmp_path)
    deps = tmp_path / "target/deps"
    deps.mkdir(parents=True)
    shutil.copy(ROOT / "deploy/requirements.txt", deps / ".requirements")
    shutil.copy(ROOT / "constraints.txt", deps / ".constraints")
    return tmp_path


def build(checkout: Path) -> None:
    subprocess.run(["sh", "deploy/build.sh"], cwd=checkout, check=True, timeout=120)


def start(checkout: Path) -> int:
    code = f"import sys; sys.path.insert(0, 'target/deps'); {IMPORTS}"
    return subprocess.run([sys.executable, "-S", "-c", code], cwd=checkout, timeout=60).returncode


def test_processes_start_while_builds_run(checkout: Path):
    build(checkout)
    builder = threading.Thread(target=lambda: [build(checkout) for _ in range(BUILDS)])
    builder.start()
    codes = []
    while builder.is_alive():
        codes.append(start(checkout))
    builder.join()
    assert len(codes) > BUILDS
    assert set(codes) == {0}


def test_builds_do_not_pile_up(checkout: Path):
    for _ in range(5):
        build(checkout)
    assert len(list((checkout / "target").iterdir())) <= 4


def test_failed_build_leaves_the_one_in_use(checkout: Path):
    build(checkout)
    (checkout / "platform/lycheeslip_platform").rename(checkout / "elsewhere")
    with pytest.raises(subprocess.CalledProcessError):
        build(checkout)
    assert start(checkout) == 0


LOADED_DISTRIBUTIONS = """
import json, sys
from importlib.metadata import packages_distributions
import lycheeslip.dispatch.entry, lycheeslip_agent.dispatch.agent
import lycheeslip_platform.advice, lycheeslip_platform.caller_api, lycheeslip_platform.operator_keys
import lycheeslip_platform.heartbeat_api, lycheeslip_platform.processes, uvloop
distributions = packages_distributions()
top_level = {name.partition(".")[0] for name in sys.modules}
print(json.dumps(sorted({name for module in top_level for name in distributions.get(module, ())})))
"""


def _normalized(requirement: str) -> str:
    name = re.match(r"[\w.-]+", requirement)
    return re.sub(r"[-_.]+", "-", name[0]).lower() if name else ""


def _with_dependencies(names: set[str]) -> set[str]:
    """Return the distributions that are installed with `names`."""
    found: set[str] = set()
    pending = {_normalized(name) for name in names}
    while pending:
        name = pending.pop()
        found.add(name)
        try:
            needed = {
                _normalized(needed) for needed in requires(name) or () if "extra" not in needed
            }
        except PackageNotFoundError:  # for another Python version or platform
            continue
        pending |= needed - found
    return found


def test_every_library_that_platform_processes_load_is_installed_by_the_build():
    """Guards against a library that only a developer's environment has: no process would start."""
    result = subprocess.run(
        [sys.executable, "-c", LOADED_DISTRIBUTIONS],
        check=True,
        capture_output=True,
        text=True,
        timeout=120,
    )
    loaded = {_normalized(name) for name in json.loads(result.stdout)}
    listed = set((ROOT / "deploy/requirements.txt").read_text().split())
    own = {name for name in loaded if name.startswith("lycheeslip")}
    assert loaded - own - _with_dependencies(listed) <= {"setuptools"}  # loaded by the interpreter
