"""What the plain program imports."""

import subprocess
import sys


def imported(*words):
    run = subprocess.run(
        [sys.executable, "-X", "importtime", *words],
        capture_output=True,
        text=True,
        env={"PATH": ""},
    )
    return run, {
        line.rpartition("|")[2].strip()
        for line in run.stderr.splitlines()
        if line.startswith("import time:")
    }


def test_the_balancer_without_arguments_imports_the_standard_library_alone():
    """Guards the platform's 32 MB, and its start, against what the commands need."""
    run, names = imported("-m", "cypresswalk")
    assert (
        run.returncode == 1
        and "PROXY_CONFIG is not set" in run.stderr
        and "cypresswalk.service.program" in names
    )
    own = {name for name in names if name.startswith("cypresswalk")}
    allowed = (
        "cypresswalk.net",
        "cypresswalk.service",
        "cypresswalk.decisions",
        "cypresswalk.measures",
        "cypresswalk.model",
        "cypresswalk.hosting",
    )
    assert all(name == "cypresswalk" or name.startswith(allowed) for name in own), own
    before = imported("-c", "pass")[1]  # what the interpreter and its environment bring themselves
    # `org`: what the standard library's pickle tries for another interpreter, and does not find.
    assert {name.split(".")[0] for name in names - own - before} <= set(sys.stdlib_module_names) | {
        "org"
    }
