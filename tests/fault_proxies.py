"""The fault tool between a program and its clients and servers, unknown to the test."""

import subprocess
import sys

import pytest
from program_helpers import (
    LOOPBACK,
    DiscoveryServer,
    LineConnection,
    ListeningServer,
    ProgramProcess,
)

from cypresswalk.net.config import Address


class FaultProxies:
    """Proxies with one fault plan; each is a process.

    In this one it would share the interpreter's lock with clients and servers.
    """

    def __init__(self, plan: str, seed: int):
        """Takes the plan's file and the seed of its faults."""
        self.plan = plan
        self.seed = seed
        self.running: list[subprocess.Popen] = []

    def start(self, target: Address) -> Address:
        """Starts a proxy to an address; returns the proxy's own."""
        host, port = target
        command = [sys.executable, "-m", "cypresswalk", "faults"]
        command += ["--listen", f"{LOOPBACK}:0", "--to", f"{host}:{port}"]
        command += ["--plan", self.plan, "--seed", str(self.seed), "--quiet"]
        process = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
        self.running.append(process)
        assert process.stderr is not None
        line = process.stderr.readline()
        assert line.startswith("listening on "), line
        return LOOPBACK, int(line.rpartition(":")[2])

    def install(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Puts a proxy before each server, and before each program once it answers.

        Until it answers, a program is connected to directly: the test waits for it by refusals.
        Discovery has none.
        """
        listen = ListeningServer.listen
        start_program = ProgramProcess.__init__
        connect = ProgramProcess.connect
        fronts: dict[ProgramProcess, Address] = {}

        def listen_behind_proxy(server):
            listen(server)
            if not isinstance(server, DiscoveryServer):
                host, port = self.start(server.listener.getsockname())
                server.address = f"{host}:{port}"

        def start_behind_proxy(program, *args, **options):
            start_program(program, *args, **options)
            fronts[program] = self.start((LOOPBACK, program.port))

        def connect_through_proxy(program):
            if program not in fronts:
                return connect(program)
            return LineConnection.to(fronts[program])

        monkeypatch.setattr(ListeningServer, "listen", listen_behind_proxy)
        monkeypatch.setattr(ProgramProcess, "__init__", start_behind_proxy)
        monkeypatch.setattr(ProgramProcess, "connect", connect_through_proxy)

    def stop(self) -> None:
        """Ends all proxies."""
        for process in self.running:
            process.kill()
            process.wait()
            if process.stderr is not None:
                process.stderr.close()
