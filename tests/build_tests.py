"""Checks that processes can start from a checkout while it is being built again."""

import shutil
import subprocess
import sys
import threading
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
