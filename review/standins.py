"""Stand-ins for the cases of this review: clients, servers and discovery on loopback addresses.

They follow the operators' protocol page. All of them run in one asyncio loop, on one clock, beside
balancers that are processes of their own, started by the line `run` of the deploy file.
"""

import asyncio
import json
import os
import random
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
HEARTBEAT = 2.0  # seconds between empty lines of a watch
HELD, BROKEN, VOID = 0, 1, 2  # exit codes of a case


def now() -> float:
    """Return the time of the clock that all stand-ins share, in seconds."""
    return time.monotonic()


def run_line() -> str:
    """Return the command by which the deploy file runs a balancer."""
    with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
        return tomllib.load(file)["run"]


def free_port(host: str) -> int:
    """Return a port on which nothing listens at that address."""
    with socket.create_server((host, 0)) as sock:
        return sock.getsockname()[1]


class Record:
    """What was sent, answered and run, with the time since the start of the case."""

    def __init__(self, folder: Path):
        """Begin `record.txt` in the folder."""
        self.start = now()
        self.file = open(folder / "record.txt", "w", buffering=1)  # noqa: SIM115

    def add(self, text: str) -> None:
        """Add a line with the time."""
        self.file.write(f"{1000 * (now() - self.start):7.0f} ms {text}\n")

    def say(self, text: str) -> None:
        """Add a line, and print it."""
        self.add(text)
        print(text, flush=True)


class Agent:
    """The agent of discovery on a balancer's machine: answers lists and watches.

    Attributes:
        answer_delay: Seconds from a call to the first byte of its answer.
        silent: Whether discovery is down: nothing is answered or told until it is back; then every
            call that is still open is answered at once.
        indent: Spaces by which the objects of the list are indented; None for one line each.
    """

    def __init__(self, name: str, record: Record, host: str = "127.0.0.1"):
        """Create an agent that knows no server yet."""
        self.name = name
        self.record = record
        self.host = host
        self.port = 0
        self.generation = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}  # generation of the latest change, by server
        self.answer_delay = 0.0
        self.silent = False
        self.indent: int | None = None
        self.calls = 0
        self.open_calls = 0
        self.back = asyncio.Event()
        self.news = asyncio.Condition()
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Return the address as configurations give it."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def load(self, entries: list[dict[str, Any]]) -> None:
        """Set the list that it starts with."""
        for entry in entries:
            self.entries[entry["instanceId"]] = entry
            self.changed_at[entry["instanceId"]] = self.generation

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list in discovery's form."""
        return {
            "generation": self.generation,
            "reset": True,
            "instances": list(self.entries.values()),
        }

    async def change(self, names: list[str], **fields: Any) -> None:
        """Change entries; it is told to open watches at once, unless discovery is down."""
        self.generation += 1
        for name in names:
            self.entries[name] = self.entries[name] | fields
            self.changed_at[name] = self.generation
        async with self.news:
            self.news.notify_all()

    async def set_silent(self, silent: bool) -> None:
        """Let discovery go down or come back."""
        self.silent = silent
        if silent:
            self.back.clear()
        else:
            self.back.set()
            async with self.news:
                self.news.notify_all()

    def refuse(self) -> None:
        """Take no new connections; open ones stay."""
        if self.server is not None:
            self.server.close()

    def reset_watches(self) -> None:
        """Reset every open connection."""
        for writer in list(self.writers):
            writer.transport.abort()

    def text(self, since: int) -> bytes:
        """Return the changes since a generation, or the whole list, as it is sent."""
        if since <= 0:
            value = self.whole_list()
        else:
            changed = [e for n, e in self.entries.items() if self.changed_at[n] > since]
            value = {"generation": self.generation, "reset": False, "instances": changed}
        if self.indent is None:
            return json.dumps(value, separators=(",", ":")).encode() + b"\n"
        return json.dumps(value, indent=self.indent).encode() + b"\n"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.calls += 1
        number = self.calls
        self.writers.add(writer)
        self.open_calls += 1
        self.record.add(f"{self.name} call {number} begins")
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ")[1].decode()
            ended = asyncio.ensure_future(reader.read(1))
            answer = asyncio.ensure_future(self._answer(number, target, writer))
            await asyncio.wait({ended, answer}, return_when=asyncio.FIRST_COMPLETED)
            answer.cancel()
            ended.cancel()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open_calls -= 1
            self.writers.discard(writer)
            self.record.add(f"{self.name} call {number} has ended")
            with suppress(OSError):
                writer.close()

    async def _answer(self, number: int, target: str, writer: asyncio.StreamWriter) -> None:
        query = dict(p.partition("=")[::2] for p in target.partition("?")[2].split("&"))
        if self.answer_delay:
            await asyncio.sleep(self.answer_delay)
        if self.silent:
            await self.back.wait()
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        told = self.generation
        self._chunk(writer, self.text(int(query.get("since", "0"))))
        self.record.add(f"{self.name} call {number} is told generation {told}")
        while "follow" in query:
            with suppress(TimeoutError):
                async with self.news:
                    await asyncio.wait_for(self.news.wait(), HEARTBEAT)
            if self.silent:
                await self.back.wait()
            if self.generation > told:
                text = self.text(told)
                told = self.generation
                self._chunk(writer, text)
                self.record.add(f"{self.name} call {number} is told generation {told}")
            else:
                self._chunk(writer, b"\n")
            await writer.drain()

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))


class Server:
    """A server: takes every flow at once, echoes lines, answers PING and STATS.

    Attributes:
        opened: Time and flow id of each OPEN line that it received.
    """

    def __init__(self, name: str, record: Record, zone: str, host: str = "127.0.0.1"):
        """Create a server."""
        self.name = name
        self.record = record
        self.zone = zone
        self.host = host
        self.port = 0
        self.opened: list[tuple[float, str]] = []

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = server.sockets[0].getsockname()[1]

    def entry(self) -> dict[str, Any]:
        """Return its entry in the list."""
        return {
            "instanceId": self.name,
            "hostPort": f"{self.host}:{self.port}",
            "zone": self.zone,
            "machineType": "large",
            "cell": 1,
            "lifecycle": "in_service",
            "weight": 1.0,
            "startedAtMs": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                text = line.decode().rstrip("\r\n")
                if text.startswith("OPEN "):
                    ident = text.split(" ")[1]
                    self.opened.append((now(), ident))
                    self.record.add(f"{self.name} runs {ident}")
                    writer.write(f"UP {self.name}-{ident}\r\n".encode())
                elif text == "PING":
                    writer.write(b"PONG\r\n")
                elif text == "STATS":
                    writer.write(b"PONG x0=0.3,qps=1.0,inflight=5.0\r\n")
                else:
                    writer.write(line)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Balancer:
    """A balancer process, started by the deploy file's line `run`."""

    def __init__(
        self, name: str, agent: Agent, settings: dict[str, Any], folder: Path, **data: Any
    ):
        """Write its configuration; `data` changes the configuration's fields."""
        self.name = name
        self.port = free_port("127.0.0.1")
        self.folder = folder / name
        self.folder.mkdir()
        self.config = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": agent.address,
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": agent.whole_list(),
            "settings": settings,
        } | data
        self.process: subprocess.Popen | None = None

    @property
    def config_path(self) -> Path:
        """Return the path of its configuration."""
        return self.folder / "config.json"

    def write_config(self) -> None:
        """Replace its configuration."""
        draft = self.folder / "draft.json"
        draft.write_text(json.dumps(self.config))
        draft.rename(self.config_path)

    def start(self) -> None:
        """Start the process."""
        self.write_config()
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        variables = {
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": self.config["listen"],
            "PROXY_DISCOVERY": self.config["discovery"],
            "PROXY_CONFIG": str(self.config_path),
            "TMPDIR": str(temporary),
        }
        with open(self.folder / "log.txt", "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run_line()],
                cwd=ROOT,
                env=os.environ | variables,
                stdout=log,
                stderr=log,
            )

    async def ready(self, timeout: float = 30.0) -> bool:
        """Return whether it answers PING with PONG in time."""
        end = now() + timeout
        while now() < end:
            with suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"PING\r\n")
                line = await asyncio.wait_for(reader.readline(), 2)
                writer.close()
                if line == b"PONG\r\n":
                    return True
            await asyncio.sleep(0.1)
        return False

    def signal(self, number: int) -> None:
        """Send it a signal."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End it for good."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def log(self) -> str:
        """Return its log."""
        path = self.folder / "log.txt"
        return path.read_text() if path.exists() else ""


class Clients:
    """Clients of one balancer: they arrive at random, stay a while, and send a line every 2 s."""

    def __init__(
        self,
        balancer: Balancer,
        record: Record,
        rate: float,
        stay: tuple[float, float],
        fields: str,
        rng: random.Random,
    ):
        """Create clients.

        Args:
            balancer: Where they connect.
            record: Where each answer is written.
            rate: Arrivals a second.
            stay: Shortest and longest stay, in seconds.
            fields: The last word of the OPEN line, without the group.
            rng: The source of chance.
        """
        self.balancer = balancer
        self.record = record
        self.rate = rate
        self.stay = stay
        self.fields = fields
        self.rng = rng
        self.balancer_of: dict[str, str] = {}
        self.answers: dict[str, str] = {}
        self.tasks: set[asyncio.Task] = set()

    async def run(self, until: float) -> None:
        """Let clients arrive until a time."""
        due = now()
        while due < until:
            due += self.rng.expovariate(self.rate)
            await asyncio.sleep(max(due - now(), 0))
            task = asyncio.ensure_future(self._client())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _client(self) -> None:
        ident = f"{self.rng.getrandbits(64):016x}"
        key = f"{self.rng.getrandbits(64):016x}"
        self.balancer_of[ident] = self.balancer.name
        writer = None
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.balancer.port)
            writer.write(f"OPEN {ident} {key} {self.fields},g={key}\r\n".encode())
            answer = (await asyncio.wait_for(reader.readline(), 10)).decode().strip()
            self.answers[ident] = answer
            self.record.add(f"{self.balancer.name} answers {ident} {answer or 'with an end'}")
            if not answer.startswith("UP "):
                return
            leave = now() + self.rng.uniform(*self.stay)
            while now() < leave:
                writer.write(b"line\r\n")
                line = await asyncio.wait_for(reader.readline(), 10)
                if line in (b"", b"MOVE\r\n"):
                    return
                await asyncio.sleep(min(HEARTBEAT, max(leave - now(), 0.01)))
        except (OSError, TimeoutError) as error:
            self.record.add(f"{self.balancer.name} client {ident} {type(error).__name__}")
        finally:
            if writer is not None:
                writer.close()


class LoopDelay:
    """The longest time by which this process's loop was late."""

    def __init__(self) -> None:
        """Start at none."""
        self.worst = 0.0

    async def watch(self) -> None:
        """Measure until cancelled."""
        while True:
            began = now()
            await asyncio.sleep(0.01)
            self.worst = max(self.worst, now() - began - 0.01)


def play_and_exit(play: Callable[[Record, Path], Awaitable[int]], here: Path) -> None:
    """Play a case with a temporary folder, and end this process with the exit code.

    Connections of the stand-ins that are still open are simply left.
    """
    code = VOID
    record = Record(here)
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        try:
            code = asyncio.new_event_loop().run_until_complete(play(record, Path(folder)))
        except Exception:
            record.say(f"void: the case could not run: {traceback.format_exc()}")
    sys.stdout.flush()
    os._exit(code)
