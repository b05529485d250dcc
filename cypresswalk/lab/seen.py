"""What the stand-ins saw, in one order and by one clock: the only thing that the oracle reads."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path


@dataclass(slots=True)
class Event:
    """`at`: nanoseconds of the lab's clock. `who`: the balancer or server that it is about. What each kind carries in
    `words` stands beside its name in KINDS."""

    at: int
    what: str
    flow: str = ""
    who: str = ""
    words: dict = field(default_factory=dict)

    def line(self) -> str:
        return json.dumps(
            {"at": self.at, "what": self.what, "flow": self.flow, "who": self.who} | self.words,
            separators=(",", ":"),
        )

    def __str__(self) -> str:
        words = " ".join(f"{name}={value}" for name, value in self.words.items())
        return f"{self.at / 1e9:.3f} s {self.what} {self.flow} {self.who} {words}".strip()


KINDS = {
    "sent": "by a client to a balancer, its last byte: type, wait_ms, person, port",
    "answer": "read by the client: kind (up, busy, failed), line",
    "said_again": "a bad client said that id to a balancer: who",
    "left": "the client went away before an answer, of its own accord",
    "ended": "the client's connection: how (own, end, reset, move, bye)",
    "attempt": "a whole opening line at a server: balancer, number, load, port",
    "reply": "what the server said to it: number, kind (up, busy, error, reset), receipt",
    "let_go": "the balancer ended that connection: number",
    "broke": "the server ended that connection: number, how",
    "lines": "of one side of a connection that stood: side (client, server), said, heard, number",
    "told": "a list agent wrote this to the balancer: server, life, version of the list",
    "balancer_up": "",
    "balancer_down": "",
    "server_up": "cold start",
    "server_down": "",
    "server_mute": "",
    "echo": "a line came back: took_ms, person",
    "fault": "the fault tool struck a connection: who (client, server: which side of the balancers), ports, kind",
    "day_ended": "",
}


def save(events: Iterable[Event], path: Path) -> None:
    with open(path, "w", encoding="utf-8") as file:
        for event in events:
            file.write(event.line() + "\n")


def load(path: Path) -> list[Event]:
    events = []
    with open(path, encoding="utf-8") as file:
        for line in file:
            words = json.loads(line)
            events.append(
                Event(
                    words.pop("at"), words.pop("what"), words.pop("flow"), words.pop("who"), words
                )
            )
    return events
