"""Files that the pages and the deploy files name are there, and decisions import one way."""

import re
import tomllib

import pytest
from paths import ROOT

DECISIONS = ROOT / "cypresswalk" / "decisions"
NAMED_FILE = re.compile(r"\b(?:cypresswalk|tests|docs|deploy)/[\w/.-]*[\w/]")
LINK_TARGET = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")
DECISIONS_IMPORT = re.compile(r"^from cypresswalk\.decisions\.(\w+) import", re.MULTILINE)
PAGES = [
    "README.md",
    "CONTRIBUTING.md",
    "docs/architecture.md",
    "docs/capacity.md",
    "docs/design.md",
    "docs/glossary.md",
    "docs/on-call.md",
    "docs/ROADMAP.md",
]


@pytest.mark.parametrize("page", PAGES)
def test_files_that_a_page_names_exist(page):
    named = NAMED_FILE.findall((ROOT / page).read_text())
    assert [name for name in named if not (ROOT / name).exists()] == []


@pytest.mark.parametrize("page", PAGES)
def test_links_of_a_page_lead_somewhere(page):
    links = LINK_TARGET.findall((ROOT / page).read_text())
    folder = (ROOT / page).parent
    assert [link for link in links if not (folder / link).exists()] == []


@pytest.mark.parametrize("file", ["balancer.toml", "traced.toml"])
def test_the_deploy_file_lists_all_files_that_hold_decisions(file):
    deploy = tomllib.loads((ROOT / "deploy" / file).read_text())
    modules = {path for path in DECISIONS.glob("*.py") if path.name != "__init__.py"}
    expected = {str(path.relative_to(ROOT)) for path in modules} | {"cypresswalk/measures.py"}
    assert set(deploy["policy"]) == expected
    assert all((ROOT / path).exists() for path in deploy["node"])


def test_modules_of_the_decisions_import_in_one_direction():
    """There is no cycle among them, whatever the order of imports."""
    imports = {
        path.stem: set(DECISIONS_IMPORT.findall(path.read_text()))
        for path in DECISIONS.glob("*.py")
    }
    while ready := {name for name, needed in imports.items() if not needed & imports.keys()}:
        for name in ready:
            del imports[name]
    assert imports == {}
