"""Which modules the balancer without commands imports."""

import subprocess
import sys
from dataclasses import dataclass

# The packages of cypresswalk that the balancer without commands may import.
PLAIN_PROGRAM = (
    "cypresswalk.net",
    "cypresswalk.service",
    "cypresswalk.decisions",
    "cypresswalk.measures",
    "cypresswalk.model",
    "cypresswalk.hosting",
)
# pickle of the standard library tries to import `org`, which only another interpreter has.
STANDARD_LIBRARY = set(sys.stdlib_module_names) | {"org"}


@dataclass(frozen=True)
class InterpreterRun:
    """One run of the interpreter.

    Attributes:
        process: The finished process.
        modules: Full names of the modules that it imported.
    """

    process: subprocess.CompletedProcess[str]
    modules: set[str]


def run_interpreter(*arguments: str) -> InterpreterRun:
    """Run the interpreter in an empty environment; return the run with the imported modules."""
    command = [sys.executable, "-X", "importtime", *arguments]
    process = subprocess.run(command, capture_output=True, text=True, env={"PATH": ""})
    lines = [line for line in process.stderr.splitlines() if line.startswith("import time:")]
    return InterpreterRun(process, {line.rpartition("|")[2].strip() for line in lines})


def test_the_balancer_without_arguments_imports_the_standard_library_alone():
    """The platform gives the balancer 32 MB; the dependencies of the commands would not fit."""
    run = run_interpreter("-m", "cypresswalk")
    assert run.process.returncode == 1
    assert "PROXY_CONFIG is not set" in run.process.stderr
    assert "cypresswalk.service.program" in run.modules
    own = {name for name in run.modules if name.startswith("cypresswalk")}
    assert all(name == "cypresswalk" or name.startswith(PLAIN_PROGRAM) for name in own), own
    interpreter_modules = run_interpreter("-c", "pass").modules
    other_packages = {name.split(".")[0] for name in run.modules - own - interpreter_modules}
    assert other_packages <= STANDARD_LIBRARY
