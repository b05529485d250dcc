"""Files that the pages and the deploy files name are there, and decisions import one way."""

import re
import tomllib
from pathlib import Path

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
    "docs/operators/fleet.md",
    "docs/operators/lab.md",
    "docs/operators/state.md",
]
LINKED_PAGES = ["README.md", "CONTRIBUTING.md"] + sorted(
    str(path.relative_to(ROOT)) for path in (ROOT / "docs").rglob("*.md")
)
# Paths of an installation, as /etc/cypresswalk/operator.toml, are not of this repository.
PATH_HERE = re.compile(r"(?<!/etc/)(?<!/var/lib/)\b(?:cypresswalk|tests|docs|deploy)/[\w/.-]*[\w/]")
LINK = re.compile(r"\]\(([^)\s]+)\)")
ABSOLUTE = re.compile(r"[a-z][a-z+.-]*:")
HEADING = re.compile(r"^#{1,6} +(.+?)(?: +#+)?$", re.M)
FENCED_CODE = re.compile(r"^```.*?^```", re.M | re.S)

DECISIONS = ROOT / "cypresswalk" / "decisions"
DECISIONS_IMPORT = re.compile(r"^from cypresswalk\.decisions\.(\w+) import", re.MULTILINE)


def anchors(page: Path) -> set[str]:
    """Return the anchors of a page's headings, made as GitHub makes them."""
    found: set[str] = set()
    for heading in HEADING.findall(FENCED_CODE.sub("", page.read_text())):
        text = re.sub(r"\]\([^)]*\)", "", heading).lower()
        anchor = re.sub(r"[^\w\- ]", "", text).replace(" ", "-")
        repeats = 0
        while (numbered := f"{anchor}-{repeats}" if repeats else anchor) in found:
            repeats += 1
        found.add(numbered)
    return found


def leads_somewhere(page: Path, link: str) -> bool:
    """Return whether a relative link names a file that exists and, if any, an anchor in it."""
    path, _, anchor = link.partition("#")
    target = page.parent / path if path else page
    if not target.exists():
        return False
    return not anchor or (target.suffix == ".md" and anchor in anchors(target))


@pytest.mark.parametrize("page", PAGES)
def test_files_that_a_page_names_exist(page):
    named = PATH_HERE.findall((ROOT / page).read_text())
    assert [name for name in named if not (ROOT / name).exists()] == []


@pytest.mark.parametrize("page", LINKED_PAGES)
def test_links_of_a_page_lead_somewhere(page):
    text = FENCED_CODE.sub("", (ROOT / page).read_text())
    links = [link for link in LINK.findall(text) if not ABSOLUTE.match(link)]
    assert [link for link in links if not leads_somewhere(ROOT / page, link)] == []


def test_a_link_to_a_missing_anchor_leads_nowhere(tmp_path):
    page = tmp_path / "page.md"
    page.write_text("# One page\n\n## A `call` & its end\n\n## Again\n\n## Again\n")
    assert anchors(page) == {"one-page", "a-call--its-end", "again", "again-1"}
    assert leads_somewhere(page, "#again-1")
    assert leads_somewhere(page, "page.md#one-page")
    assert not leads_somewhere(page, "#again-2")
    assert not leads_somewhere(page, "other.md")


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
