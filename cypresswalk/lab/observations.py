"""What simulated clients, servers and lists observed, in one order and by one clock.

The checker reads observations alone. On disk an observation is one line of JSON.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path


@dataclass(slots=True)
class Observation:
    """One thing that a part of the test bed saw or did.

    Attributes:
        at: Nanoseconds of the lab's clock.
        kind: One of KINDS.
        flow: The id of the flow that it is about; empty if of none.
        subject: The balancer or server that it is about.
        fields: What this kind carries, as KINDS says beside its name.
    """

    at: int
    kind: str
    flow: str = ""
    subject: str = ""
    fields: dict = field(default_factory=dict)

    def line(self) -> str:
        """Return it as one line of JSON, without the line's end."""
        head = {"at": self.at, "what": self.kind, "flow": self.flow, "who": self.subject}
        return json.dumps(head | self.fields, separators=(",", ":"))

    def __str__(self) -> str:
        """Return it as a line for people, the time in seconds."""
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        head = f"{self.at / 1e9:.3f} s {self.kind} {self.flow} {self.subject}"
        return f"{head} {fields}".strip()


KINDS = {
    "sent": "by a client to a balancer, its last byte: type, wait_ms, person, port",
    "answer": "read by the client: kind (up, busy, failed), line",
    "said_again": "a misbehaving client sent that id to a balancer a second time: who",
    "left": "the client went away before an answer, of its own accord",
    "ended": "the client's connection: how (own, end, reset, move, bye)",
    "attempt": "a complete opening line at a server: balancer, number, load, port",
    "reply": "the server's reply to it: number, kind (up, busy, error, reset), receipt",
    "let_go": "the balancer ended that connection: number",
    "broke": "the server ended that connection: number, how",
    "lines": "one side of an established connection: side (client, server), said, heard, number",
    "told": "a list agent wrote this to the balancer: server, life, version of the list",
    "balancer_up": "",
    "balancer_down": "",
    "server_up": "started, cold",
    "server_down": "",
    "server_mute": "the server stopped answering",
    "echo": "a line came back: took_ms, person",
    "fault": "a connection was hit by an injected fault: who (client, server: which side of the"
    " balancers), ports, kind",
    "day_ended": "",
}


def save(observations: Iterable[Observation], path: Path) -> None:
    """Write them to a file, one a line."""
    with open(path, "w", encoding="utf-8") as file:
        for observation in observations:
            file.write(observation.line() + "\n")


def load(path: Path) -> list[Observation]:
    """Read what `save` wrote.

    Raises:
        OSError: The file can't be read.
        ValueError: A line is no JSON.
        KeyError: A line lacks one of the keys that every observation has.
    """
    observations = []
    with open(path, encoding="utf-8") as file:
        for line in file:
            fields = json.loads(line)
            at = fields.pop("at")
            kind = fields.pop("what")
            flow = fields.pop("flow")
            subject = fields.pop("who")
            observations.append(Observation(at, kind, flow, subject, fields))
    return observations
