"""Stand-ins of the second review: servers, discovery's agent and balancer processes on loopback.

They follow the operators' protocol page. All run in one asyncio loop on one clock; each balancer is
a process of its own, started by the line `run` of the deploy file.
"""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
BROKEN, HELD, VOID = 1, 0, 2  # exit codes of a case
HOST = "127.0.0.1"
WATCH_BEAT = 2.0  # seconds between empty lines of a watch


def now() -> float:
    """Return the time of the clock that all stand-ins share, in seconds."""
    return time.monotonic()


def trouble() -> bool:
    """Return whether the case is played with its disruption."""
    return os.environ.get("TROUBLE") != "0"


class Record:
    """The file `record.txt`: what was sent, answered and run, with times since the start."""

    def __init__(self, folder: Path):
        """Begin the file in the folder."""
        self.start = now()
        self.file = open(folder / "record.txt", "w", buffering=1)  # noqa: SIM115

    def add(self, text: str) -> None:
        """Add a line."""
        self.file.write(f"{1000 * (now() - self.start):8.0f} ms {text}\n")

    def say(self, text: str) -> None:
        """Add a line and print it."""
        self.add(text)
        print(text, flush=True)


class Agent:
    """The agent of discovery on a balancer's machine.

    Attributes:
        down: Whether discovery is out of reach: the agent takes calls and is silent.
        lists: Answers begun.
    """

    def __init__(self, record: Record, name: str = "agent"):
        """Create an agent without servers."""
        self.record = record
        self.name = name
        self.address = ""
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed: dict[str, int] = {}
        self.down = False
        self.lists = 0
        self._news = asyncio.Event()
        self._up = asyncio.Event()
        self._up.set()

    async def start(self) -> None:
        """Listen at a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]  # noqa: UP031

    def put(self, entries: list[dict[str, Any]]) -> None:
        """Change or add entries; open watches are told at once, unless discovery is down."""
        self.version += 1
        for entry in entries:
            self.entries[entry["instanceId"]] = entry
            self.changed[entry["instanceId"]] = self.version
        self._notify()

    def set_lifecycle(self, names: list[str], lifecycle: str) -> None:
        """Change the lifecycle of servers."""
        self.put([self.entries[name] | {"lifecycle": lifecycle} for name in names])

    def set_down(self, down: bool) -> None:
        """Let discovery go out of reach or come back."""
        self.down = down
        (self._up.clear if down else self._up.set)()
        self._notify()

    def whole(self) -> dict[str, Any]:
        """Return the whole list, in discovery's form."""
        listed = [e for e in self.entries.values() if e["lifecycle"] != "terminated"]
        return {"generation": self.version, "reset": True, "instances": listed}

    def _notify(self) -> None:
        news, self._news = self._news, asyncio.Event()
        news.set()

    def _value(self, since: int) -> bytes:
        value = self.whole()
        if since > 0:
            changed = [e for n, e in self.entries.items() if self.changed[n] > since]
            value = value | {"reset": False, "instances": changed}
        return json.dumps(value, separators=(",", ":")).encode() + b"\n"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            _, _, query = head.split(b" ")[1].decode().partition("?")
            fields = dict(pair.partition("=")[::2] for pair in query.split("&"))
            self.record.add(f"{self.name} is asked: {query or 'whole list'}")
            ended = asyncio.ensure_future(reader.read(1))
            answer = asyncio.ensure_future(self._answer(fields, writer))
            await asyncio.wait({ended, answer}, return_when=asyncio.FIRST_COMPLETED)
            answer.cancel()
            ended.cancel()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, fields: dict[str, str], writer: asyncio.StreamWriter) -> None:
        await self._up.wait()
        self.lists += 1
        told = self.version
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._chunk(writer, self._value(int(fields.get("since", "0"))))
        self.record.add(f"{self.name} answers with version {told}")
        while "follow" in fields:
            with suppress(TimeoutError):
                await asyncio.wait_for(self._news.wait(), WATCH_BEAT)
            await self._up.wait()
            since, told = told, self.version
            self._chunk(writer, self._value(since) if told > since else b"\n")
            if told > since:
                self.record.add(f"{self.name} tells version {told}")
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))


class Server:
    """A server: takes each flow at once, sends each line back, and answers probes.

    Attributes:
        runs: Time and id of each OPEN line that it got whole.
    """

    def __init__(self, name: str, record: Record, zone: str, kind: str):
        """Create a server."""
        self.name = name
        self.record = record
        self.zone = zone
        self.kind = kind
        self.address = ""
        self.runs: list[tuple[float, str]] = []

    async def start(self) -> None:
        """Listen at a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0, backlog=512)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]  # noqa: UP031

    def entry(self) -> dict[str, Any]:
        """Return its entry in the list."""
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": self.zone,
            "machineType": self.kind,
            "cell": 1,
            "lifecycle": "in_service",
            "weight": 1.0,
            "startedAtMs": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                await self.on_line(line.decode("ascii", "replace").rstrip("\r\n"), writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def on_line(self, line: str, writer: asyncio.StreamWriter) -> None:
        """Answer a line."""
        if line.startswith("OPEN "):
            ident = line.split(" ")[1]
            self.runs.append((now(), ident))
            self.record.add(f"{self.name} runs {ident}")
            writer.write(f"UP {self.name}-{len(self.runs)}\r\n".encode())
        elif line == "PING":
            writer.write(b"PONG\r\n")
        elif line == "STATS":
            writer.write(b"PONG x0=0.3,qps=1.0,inflight=5.0\r\n")
        else:
            writer.write(line.encode() + b"\r\n")


def free_port() -> int:
    """Return a port on which nothing listens."""
    with socket.create_server((HOST, 0)) as sock:
        return sock.getsockname()[1]


class Balancer:
    """A balancer: its configuration and its process."""

    def __init__(self, name: str, folder: Path, config: dict[str, Any]):
        """Prepare a balancer; `config` holds discovery, known, settings and limits."""
        self.name = name
        self.folder = folder / name
        self.folder.mkdir()
        self.port = free_port()
        self.config = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        } | config
        self.process: subprocess.Popen | None = None

    def start(self, **variables: str) -> None:
        """Write the configuration and start the process by the deploy file's line `run`."""
        path = self.folder / "config.json"
        draft = self.folder / "draft.json"
        draft.write_text(json.dumps(self.config))
        draft.rename(path)
        (self.folder / "tmp").mkdir(exist_ok=True)
        environment = os.environ | {
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": self.config["listen"],
            "PROXY_DISCOVERY": self.config["discovery"],
            "PROXY_CONFIG": str(path),
            "TMPDIR": str(self.folder / "tmp"),
        }
        with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
            run = tomllib.load(file)["run"]
        with open(self.folder / "log.txt", "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=environment | variables,
                stdout=log,
                stderr=log,
            )

    async def ready(self, timeout: float = 30.0) -> bool:
        """Wait until it answers PING with PONG; return whether it did in time."""
        end = now() + timeout
        while now() < end:
            with suppress(OSError, TimeoutError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"PING\r\n")
                line = await asyncio.wait_for(reader.readline(), 2)
                writer.close()
                if line == b"PONG\r\n":
                    return True
            await asyncio.sleep(0.1)
        return False

    @property
    def running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send the process a signal."""
        if self.process is not None and self.running:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process outright."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def log(self) -> str:
        """Return what the process has written."""
        return (self.folder / "log.txt").read_text()


def play_and_exit(play: Callable[[Record, Path], Awaitable[int]], here: Path) -> None:
    """Play a case in a temporary folder, and end this process with the exit code."""
    code = VOID
    record = Record(here)
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        try:
            code = asyncio.new_event_loop().run_until_complete(play(record, Path(folder)))
        except Exception:
            record.say(f"void: {traceback.format_exc()}")
    sys.stdout.flush()
    os._exit(code)
