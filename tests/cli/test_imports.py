"""What the plain program imports."""

import subprocess
import sys
from dataclasses import dataclass

# Packages of the plain program: all that `run` may import of its own.
PLAIN_PROGRAM = (
    "cypresswalk.net",
    "cypresswalk.service",
    "cypresswalk.decisions",
    "cypresswalk.measures",
    "cypresswalk.model",
    "cypresswalk.hosting",
)
# `org` is what the standard library's pickle tries for another interpreter, and does not find.
STANDARD_LIBRARY = set(sys.stdlib_module_names) | {"org"}


@dataclass(frozen=True)
class InterpreterRun:
    """One run of the interpreter.

    Attributes:
        process: The process that has ended.
        modules: Full names of the modules that it imported.
    """

    process: subprocess.CompletedProcess[str]
    modules: set[str]


def run_interpreter(*arguments: str) -> InterpreterRun:
    """Run the interpreter in an empty environment and note what it imports."""
    command = [sys.executable, "-X", "importtime", *arguments]
    process = subprocess.run(command, capture_output=True, text=True, env={"PATH": ""})
    lines = [line for line in process.stderr.splitlines() if line.startswith("import time:")]
    return InterpreterRun(process, {line.rpartition("|")[2].strip() for line in lines})


def test_the_balancer_without_arguments_imports_the_standard_library_alone():
    """The platform gives it 32 MB; what the commands need would not fit."""
    run = run_interpreter("-m", "cypresswalk")
    assert run.process.returncode == 1
    assert "PROXY_CONFIG is not set" in run.process.stderr
    assert "cypresswalk.service.program" in run.modules
    own = {name for name in run.modules if name.startswith("cypresswalk")}
    assert all(name == "cypresswalk" or name.startswith(PLAIN_PROGRAM) for name in own), own
    of_interpreter = run_interpreter("-c", "pass").modules
    others = {name.split(".")[0] for name in run.modules - own - of_interpreter}
    assert others <= STANDARD_LIBRARY
