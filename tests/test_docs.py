"""What the pages say of files is true."""

import re
import tomllib

import pytest
from paths import ROOT

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
    named = re.findall(
        r"\b(?:cypresswalk|tests|docs|deploy)/[\w/.-]*[\w/]", (ROOT / page).read_text()
    )
    assert [name for name in named if not (ROOT / name).exists()] == []


@pytest.mark.parametrize("page", PAGES)
def test_links_of_a_page_lead_somewhere(page):
    links = re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", (ROOT / page).read_text())
    folder = (ROOT / page).parent
    assert [link for link in links if not (folder / link).exists()] == []


@pytest.mark.parametrize("file", ["balancer.toml", "traced.toml"])
def test_the_deploy_file_lists_all_files_that_hold_decisions(file):
    deploy = tomllib.loads((ROOT / "deploy" / file).read_text())
    decisions = {
        str(path.relative_to(ROOT))
        for path in (ROOT / "cypresswalk" / "decisions").glob("*.py")
        if path.name != "__init__.py"
    }
    assert set(deploy["policy"]) == decisions | {"cypresswalk/measures.py"}
    assert all((ROOT / path).exists() for path in deploy["node"])


def test_modules_of_the_decisions_import_in_one_direction():
    """No circle among them, whatever the order of imports."""
    imports = {}
    for path in (ROOT / "cypresswalk" / "decisions").glob("*.py"):
        found = re.findall(r"^from cypresswalk\.decisions\.(\w+) import", path.read_text(), re.M)
        imports[path.stem] = set(found)
    while ready := {name for name, needs in imports.items() if not needs & imports.keys()}:
        for name in ready:
            del imports[name]
    assert imports == {}
