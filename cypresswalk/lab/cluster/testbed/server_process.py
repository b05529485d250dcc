"""A server as a process, which an agent starts from a version's folder.

    python -m cypresswalk.lab.cluster.testbed.server_process NAME HOST PORT[,PORT...] FILE

It listens on a separate port for each balancer, which identifies the balancer that connects; the
agent's health checks use the first port. The server appends its events to FILE, one JSON object per
line. A file `build` in the working directory contains the defect of this version, if any.
"""

import asyncio
import json
import os
import signal
import sys
import time
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from cypresswalk.lab.cluster.testbed.flow_types import effect_of
from cypresswalk.lab.units import MILLISECOND

BUILD_FILE = "build"
# Values of `plan.Build`, which is not imported because that would slow down each start.
GOOD = "good"
ABORTS = "aborts"
SLOW = "slow"
CRASHES = "falls"
NEVER_READY = "never_ready"
ABORTED_FLOWS = 4  # every fourth flow is aborted
SLOW_ANSWER_S = 0.05
CRASH_AFTER_S = 4


@dataclass(slots=True)
class _Connection:
    """A connection of a balancer.

    Attributes:
        balancer: index of the balancer.
        writer: stream to the balancer.
        flow: id of the flow; empty before the first line.
        number: identifier of the attempt; empty before the first line.
        established: whether the flow was accepted.
    """

    balancer: int
    writer: asyncio.StreamWriter
    flow: str = ""
    number: str = ""
    established: bool = False


class ServerProcess:
    """A server, which accepts flows and echoes their lines unless its build has a defect."""

    def __init__(self, name: str, host: str, ports: list[int], file: str, build: str):
        """Open the file for events; `run` listens."""
        self.name = name
        self.host = host
        self.ports = ports
        self.build = build
        self.log = os.open(file, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        self.established = 0
        self.attempts = 0

    async def run(self) -> None:
        """Serve until SIGTERM."""
        loop = asyncio.get_running_loop()
        stopping = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, stopping.set)
        if self.build != NEVER_READY:
            for number, port in enumerate(self.ports):
                await asyncio.start_server(partial(self._serve, number), self.host, port)
        self._record("started", wall_ms=time.time_ns() // MILLISECOND)
        if self.build == CRASHES:
            loop.call_later(CRASH_AFTER_S, os._exit, 1)
        await stopping.wait()
        self._record("stopped", standing=self.established)

    async def _serve(
        self, balancer: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = _Connection(balancer, writer)
        try:
            while line := await reader.readline():
                if not await self._answer(connection, line):
                    break
        except (OSError, ValueError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass  # the connection or the server has ended; asyncio would print a traceback
        finally:
            self.established -= connection.established
            if connection.flow:
                self._record("gone", flow=connection.flow, number=connection.number)
            writer.close()

    async def _answer(self, connection: _Connection, line: bytes) -> bool:
        """Answer a line; return whether the connection stays open."""
        words = line.decode(errors="replace").split()
        if words[:1] == ["PING"]:
            connection.writer.write(b"PONG\r\n")
        elif words[:1] == ["OPEN"] and len(words) > 3:
            return await self._open(connection, words[1], words[3])
        else:
            connection.writer.write(line)
        return True

    async def _open(self, connection: _Connection, flow: str, options: str) -> bool:
        """Answer a flow's first line; return whether it is established."""
        self.attempts += 1
        connection.flow = flow
        connection.number = number = f"{os.getpid()}-{self.attempts}"
        self._record(
            "open",
            balancer=connection.balancer,
            flow=flow,
            number=number,
            effect=effect_of(options),
        )
        if self.build == ABORTS and self.attempts % ABORTED_FLOWS == 0:
            self._record("reply", flow=flow, number=number, kind="error")
            connection.writer.write(b"ERR\r\n")
            return False
        if self.build == SLOW:
            await asyncio.sleep(SLOW_ANSWER_S)
        self._record("reply", flow=flow, number=number, kind="up")
        connection.writer.write(f"UP r{flow}\r\n".encode())
        connection.established = True
        self.established += 1
        return True

    def _record(self, what: str, **fields: object) -> None:
        event = {"at": time.monotonic_ns(), "what": what, "server": self.name} | fields
        os.write(self.log, (json.dumps(event) + "\n").encode())


def main() -> None:
    """Run the server that the command line names."""
    name, host, ports, file = sys.argv[1:]
    build_file = Path(BUILD_FILE)
    build = build_file.read_text().strip() if build_file.exists() else GOOD
    server = ServerProcess(name, host, [int(port) for port in ports.split(",")], file, build)
    asyncio.run(server.run())


if __name__ == "__main__":
    main()
