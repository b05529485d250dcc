"""A small balancer that violates a rule in one selectable way, or none.

`python mutant_balancer.py MUTATION` reads PROXY_CONFIG like the real balancer. The checker must
detect each mutation, and find no violation by the balancer without one.
"""

import asyncio
import json
import os
import signal
import sys
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Any

ATTEMPTS = 3
READ_LIMIT = 1 << 20  # bytes; an endpoint list is one line
REJECTED = b"BUSY\r\n"
FAILED = b"ERR\r\n"

# An entry of the endpoint list, as JSON.
Server = dict[str, Any]


class Mutation(StrEnum):
    """The fault that the balancer has."""

    NONE = "none"
    NEVER_ANSWERS = "never-answers"
    ANSWERS_LATE = "answers-late"
    ENDS_WITHOUT_ANSWER = "ends-without-answer"
    INVENTS_ANSWER = "invents-answer"
    ANSWERS_TWICE = "answers-twice"
    ATTEMPTS_AFTER_ANSWER = "attempts-after-answer"
    TWO_ATTEMPTS_AT_ONCE = "two-attempts-at-once"
    RETRIES_ONCE_ONLY = "retries-once-only"
    REJECTS_WHAT_MAY_HAVE_RUN = "rejects-what-may-have-run"
    IGNORES_DRAINS = "ignores-drains"
    PREFERS_COLD_SERVERS = "prefers-cold-servers"
    LOSES_LINE = "loses-line"
    DOUBLES_LINE = "doubles-line"
    CUTS_CONNECTION = "cuts-connection"


# These mutations affect only every fourth flow; the other flows are served correctly.
AFFECTS_EVERY_FOURTH_FLOW = {
    Mutation.NEVER_ANSWERS,
    Mutation.ANSWERS_LATE,
    Mutation.ENDS_WITHOUT_ANSWER,
    Mutation.INVENTS_ANSWER,
    Mutation.ANSWERS_TWICE,
    Mutation.ATTEMPTS_AFTER_ANSWER,
}


@dataclass(frozen=True)
class Stream:
    """The reader and writer of a connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def has_left(self) -> bool:
        """Return whether the other side has ended or reset the connection."""
        return self.reader.at_eof() or self.reader.exception() is not None


@dataclass(frozen=True)
class Attempt:
    """A server's first line, and the connection; the latter is None if it was refused."""

    answer: bytes
    stream: Stream | None

    def close(self) -> None:
        """Close the connection."""
        if self.stream is not None:
            self.stream.writer.close()


def split_address(text: str) -> tuple[str, int]:
    """Return host and port of an address "host:port"."""
    host, _, port = text.rpartition(":")
    return host, int(port)


async def attempt(server: Server, line: bytes) -> Attempt:
    """Send a request to a server; a refused connection counts as rejected, as it did not run."""
    try:
        stream = Stream(*await asyncio.open_connection(*split_address(server["hostPort"])))
    except OSError:
        return Attempt(REJECTED, None)
    stream.writer.write(line)
    try:
        return Attempt(await stream.reader.readline(), stream)
    except OSError:
        return Attempt(b"", stream)


class MutantBalancer:
    """A balancer that serves clients at one listener with the servers of its endpoint list."""

    def __init__(self, config: dict[str, Any], mutation: Mutation) -> None:
        """Start with the servers of the configuration's endpoint list."""
        self.config = config
        self.mutation = mutation
        self.servers: dict[str, Server] = {}
        self.once_only = {
            service_type["name"]
            for service_type in config["settings"]["serviceTypes"]
            if service_type["semantics"] == "at_most_once"
        }
        self.flows = 0
        self.update(config["known"]["instances"])

    async def serve(self) -> None:
        """Listen and follow the endpoint list, until cancelled."""
        server = await asyncio.start_server(
            self.serve_client, *split_address(self.config["listen"])
        )
        await asyncio.gather(server.serve_forever(), self.follow_list())

    def update(self, entries: list[Server]) -> None:
        """Apply changes of the endpoint list."""
        for entry in entries:
            name = entry["instanceId"]
            is_drain = name in self.servers and entry["lifecycle"] != "in_service"
            if not (is_drain and self.mutation is Mutation.IGNORES_DRAINS):
                self.servers[name] = entry

    async def follow_list(self) -> None:
        """Watch the endpoint list and apply each change."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(
                    *split_address(self.config["discovery"]), limit=READ_LIMIT
                )
                request = b"GET /registry/instances?follow=1&since=0 HTTP/1.1\r\nHost: a\r\n\r\n"
                writer.write(request)
                while line := await reader.readline():
                    if line.startswith(b"{"):
                        self.update(json.loads(line)["instances"])
            except OSError:
                await asyncio.sleep(0.05)

    def candidates(self) -> list[Server]:
        """Return the servers in service, only the warm ones if there are any."""
        ready = [entry for entry in self.servers.values() if entry["lifecycle"] == "in_service"]
        cold = [entry for entry in ready if entry["startedAtMs"]]
        if self.mutation is Mutation.PREFERS_COLD_SERVERS and cold:
            return cold
        return [entry for entry in ready if not entry["startedAtMs"]] or ready

    async def serve_client(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer health checks, then serve one flow."""
        try:
            while (line := await reader.readline()) == b"PING\r\n":
                writer.write(b"PONG\r\n")
            if line:
                self.flows += 1
                await self.serve_flow(line, self.flows, Stream(reader, writer))
        except OSError:
            pass  # the client has disconnected
        finally:
            writer.close()

    async def serve_flow(self, line: bytes, number: int, client: Stream) -> None:
        """Serve a flow; every fourth one with a mutation that affects only those."""
        values = dict(pair.split("=", 1) for pair in line.decode().split()[3].split(","))
        timeout_s = float(values["d"]) / 1000
        if number % 4 == 0 and self.mutation in AFFECTS_EVERY_FOURTH_FLOW:
            if self.mutation is not Mutation.ANSWERS_LATE:
                await self.answer_wrongly(line, timeout_s, client)
                return
            await asyncio.sleep(timeout_s + 0.15)
        await self.answer(line, number, values["c"] in self.once_only, client)

    async def answer_wrongly(self, line: bytes, timeout_s: float, client: Stream) -> None:
        """Violate rule one in the way of the mutation; to end without an answer, only return."""
        match self.mutation:
            case Mutation.NEVER_ANSWERS:
                await asyncio.sleep(timeout_s + 1)
            case Mutation.INVENTS_ANSWER:
                client.writer.write(b"UP mine\r\n")
                await client.reader.read()
            case Mutation.ANSWERS_TWICE:
                client.writer.write(REJECTED + FAILED)
            case Mutation.ATTEMPTS_AFTER_ANSWER:
                client.writer.write(REJECTED)
                await asyncio.sleep(0.2)
                await attempt(self.candidates()[0], line)

    async def answer(self, line: bytes, number: int, once_only: bool, client: Stream) -> None:
        """Try servers in turn, and answer with the reply of the first one that accepts the flow."""
        servers = self.candidates()
        # References keep the connections open.
        concurrent_attempts: list[asyncio.Task[Attempt]] = []
        for turn in range(ATTEMPTS):
            if client.has_left():
                return
            if self.mutation is Mutation.TWO_ATTEMPTS_AT_ONCE:
                other = servers[(number + 1) % len(servers)]
                concurrent_attempts.append(asyncio.create_task(attempt(other, line)))
            made = await attempt(servers[(number + turn) % len(servers)], line)
            if concurrent_attempts:
                await asyncio.sleep(0.1)
            if made.answer.startswith(b"UP") and made.stream is not None:
                client.writer.write(made.answer)
                await self.relay(client, made.stream)
                return
            made.close()
            must_not_retry = made.answer != REJECTED and once_only
            if must_not_retry and self.mutation is not Mutation.RETRIES_ONCE_ONLY:
                rejects = self.mutation is Mutation.REJECTS_WHAT_MAY_HAVE_RUN
                client.writer.write(REJECTED if rejects else FAILED)
                return
        client.writer.write(FAILED if once_only else REJECTED)

    async def relay(self, client: Stream, server: Stream) -> None:
        """Relay lines in both directions until both sides end, or until the mutation cuts."""
        cuts = self.mutation is Mutation.CUTS_CONNECTION
        directions = [self.relay_up(client, server), self.relay_down(client, server)]
        await asyncio.wait(
            [asyncio.create_task(direction) for direction in directions],
            return_when=asyncio.FIRST_COMPLETED if cuts else asyncio.ALL_COMPLETED,
        )
        server.writer.close()

    async def relay_up(self, client: Stream, server: Stream) -> None:
        """Relay the client's lines, without the second one if that is the mutation."""
        number = 0
        while line := await client.reader.readline():
            number += 1
            if not (self.mutation is Mutation.LOSES_LINE and number == 2):
                server.writer.write(line)
        server.writer.write_eof()

    async def relay_down(self, client: Stream, server: Stream) -> None:
        """Relay the server's lines; a mutation doubles the second one or stops after three."""
        number = 0
        while line := await server.reader.readline():
            number += 1
            doubled = self.mutation is Mutation.DOUBLES_LINE and number == 2
            client.writer.write(line * 2 if doubled else line)
            if self.mutation is Mutation.CUTS_CONNECTION and number == 3:
                return


def main() -> None:
    """Run the balancer with the mutation and configuration given."""
    # The real balancer logs its counters on this signal, which the lab sends at the end.
    signal.signal(signal.SIGUSR1, signal.SIG_IGN)
    config = json.loads(Path(os.environ["PROXY_CONFIG"]).read_text())
    asyncio.run(MutantBalancer(config, Mutation(sys.argv[1])).serve())


if __name__ == "__main__":
    main()
