"""A stand-in server as a process of its own, which an agent starts from a version's folder: `python -m cypresswalk.lab.cluster.standin
NAME HOST PORT[,PORT...] FILE`. A port for each balancer, so that it is known who sent; the first is the one that its agent asks. What comes
is written to FILE, a line each. A file `build` in the folder it is started in says in which way this version is bad."""

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path

EFFECTS = {"view": "repeatable", "book": "once-only"}


class StandIn:
    def __init__(self, name: str, host: str, ports: list[int], file: str, build: str):
        self.name, self.host, self.ports, self.build = name, host, ports, build
        self.out = os.open(file, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        self.standing = self.number = 0

    def say(self, what: str, **words: object) -> None:
        os.write(
            self.out,
            (
                json.dumps({"at": time.monotonic_ns(), "what": what, "server": self.name} | words)
                + "\n"
            ).encode(),
        )

    async def serve(
        self, place: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        stands, flow, number = False, "", ""
        try:
            while line := await reader.readline():
                words = line.decode(errors="replace").split()
                if words[:1] == ["PING"]:
                    writer.write(b"PONG\r\n")
                elif words[:1] == ["OPEN"] and len(words) > 3:
                    kind = dict(word.partition("=")[::2] for word in words[3].split(",")).get(
                        "c", ""
                    )
                    self.number += 1
                    flow, number = words[1], f"{os.getpid()}-{self.number}"
                    self.say(
                        "open",
                        balancer=place,
                        flow=flow,
                        number=number,
                        effect=EFFECTS.get(kind, "?"),
                    )
                    if self.build == "aborts" and self.number % 4 == 0:
                        self.say("reply", flow=flow, number=number, kind="error")
                        writer.write(b"ERR\r\n")
                        break
                    if self.build == "slow":
                        await asyncio.sleep(0.05)
                    self.say("reply", flow=flow, number=number, kind="up")
                    writer.write(f"UP r{flow}\r\n".encode())
                    stands, self.standing = True, self.standing + 1
                else:
                    writer.write(line)
        except (OSError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            self.standing -= stands
            if flow:
                self.say("gone", flow=flow, number=number)
            writer.close()

    async def run(self) -> None:
        loop, over = asyncio.get_running_loop(), asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, over.set)
        if self.build != "never_ready":
            for place, port in enumerate(self.ports):
                await asyncio.start_server(
                    lambda r, w, place=place: self.serve(place, r, w), self.host, port
                )
        self.say("started", wall_ms=time.time_ns() // 1_000_000)
        if self.build == "falls":
            loop.call_later(4, os._exit, 1)
        await over.wait()
        self.say("stopped", standing=self.standing)


def main() -> None:
    name, host, ports, file = sys.argv[1:]
    build = Path("build").read_text().strip() if Path("build").exists() else "good"
    asyncio.run(StandIn(name, host, [int(port) for port in ports.split(",")], file, build).run())


if __name__ == "__main__":
    main()
