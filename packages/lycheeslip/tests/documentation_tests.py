import re
from pathlib import Path

import pytest
import yaml
from aiohttp import web
from lycheeslip.config.reference import configuration_page, settings_page
from lycheeslip.http.job_handlers import JobHandlers
from lycheeslip.http.operator_handlers import OperatorHandlers

ROOT = Path(__file__).parents[3]
DOCS = ROOT / "docs"
PRODUCT = ("lycheeslip", "lycheeslip_agent", "lycheeslip_common")
PAGES = [ROOT / "README.md", *sorted(DOCS.rglob("*.md"))]
LINK = re.compile(r"\]\(([^)#:]+)(?:#([^)]+))?\)")
COUNTER = re.compile(r"""\.count\(\s*f?"([a-z_.]+)""")


def read(name: str) -> str:
    return (DOCS / name).read_text()


def anchors(page: Path) -> set[str]:
    headings = re.findall(r"^#+ (.+)$", page.read_text(), re.MULTILINE)
    return {re.sub(r"[^a-z0-9 -]", "", text.lower()).replace(" ", "-") for text in headings}


def test_generated_pages_are_up_to_date():
    assert read("reference/configuration.md") == configuration_page()
    assert read("reference/settings.md") == settings_page()


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_in_documentation_resolve(page):
    for target, anchor in LINK.findall(page.read_text()):
        path = (page.parent / target).resolve()
        assert path.exists(), target
        assert not anchor or anchor in anchors(path), anchor


def test_every_counter_is_documented():
    text = read("operations/counters.md")
    sources = [
        path for name in PRODUCT for path in (ROOT / f"packages/{name}/{name}").rglob("*.py")
    ]
    counted = {name for path in sources for name in COUNTER.findall(path.read_text())}
    exact = set(re.findall(r"`([a-z_.]+)`", text))
    families = tuple(re.findall(r"`([a-z_.]+)<", text))
    missing = {name for name in counted - exact if not name.startswith(families)}
    prefixes = {name for name in missing if name.endswith(".")}
    assert missing - prefixes == set()
    assert all(any(known.startswith(prefix) for known in exact) for prefix in prefixes)


def test_openapi_describes_every_route():
    application = web.Application()
    JobHandlers(None, None, None, None).add_routes(application)
    OperatorHandlers(None, None, None, None).add_routes(application)
    served = {
        (route.method.lower(), route.resource.canonical)
        for route in application.router.routes()
        if route.method != "HEAD"
    }
    paths = yaml.safe_load(read("openapi.yaml"))["paths"]
    verbs = ("get", "put", "post", "delete")
    described = {(verb, path) for path, item in paths.items() for verb in item if verb in verbs}
    assert described == served
