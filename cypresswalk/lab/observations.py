"""Observations of simulated clients, servers and list agents, in one order and by one clock.

They are the checker's only input. On disk, an observation is one line of JSON.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path


@dataclass(slots=True)
class Observation:
    """One event that a part of the testbed observed or caused.

    Attributes:
        at: The time, in nanoseconds of the lab's clock.
        kind: The kind of event; see KINDS.
        flow: The id of the flow concerned; empty for none.
        subject: The name of the balancer or server concerned.
        fields: The fields of this kind.
    """

    at: int
    kind: str
    flow: str = ""
    subject: str = ""
    fields: dict = field(default_factory=dict)

    def line(self) -> str:
        """Return the observation as one line of JSON, without the newline."""
        head = {"at": self.at, "what": self.kind, "flow": self.flow, "who": self.subject}
        return json.dumps(head | self.fields, separators=(",", ":"))

    def __str__(self) -> str:
        """Return the observation as a readable line, with the time in seconds."""
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        head = f"{self.at / 1e9:.3f} s {self.kind} {self.flow} {self.subject}"
        return f"{head} {fields}".strip()


# The kinds with a description and their fields. Other kinds: "comes", "nobody", "refused", "waited"
# and "bad" (of clients), "fell" and "odd_line" (of servers), and "trouble" (a fault begins).
KINDS = {
    "sent": "a client sent the last byte of its opening line to a balancer: type, wait_ms, person,"
    " port",
    "answer": "the client read an answer: kind (up, busy, failed), line",
    "said_again": "a misbehaving client sent the id of this flow to a balancer again: who",
    "left": "the client left by its own decision before an answer, or a fault cut its connection:"
    " cut",
    "ended": "the client's connection ended: how (own, end, reset, move, bye, cut)",
    "attempt": "a server received a complete opening line: balancer, number, load, port",
    "reply": "the server replied to an attempt: number, kind (up, busy, error, reset), receipt",
    "let_go": "the balancer ended the connection of an attempt: number",
    "broke": "the server ended the connection of an attempt: number, how",
    "lines": "the lines of one side of an established connection: side (client, server), said (what"
    " it sent), heard (what it received), number",
    "told": "a list agent sent an entry to the balancer: server, life (its state), version (of the"
    " list)",
    "list_received": "a list agent got a version of the list, which it may send on: version",
    "signal": "a signal is sent to the balancer, which listens: sent (HUP, TERM or USR1)",
    "balancer_up": "the balancer answers PING",
    "balancer_down": "the balancer ended: code (after a crash), planned",
    "server_up": "the server started, cold",
    "server_down": "the server stopped",
    "server_mute": "the server stopped answering",
    "echo": "a line came back: took_ms, person",
    "fault": "an injected fault hit a connection: who (client or server, the side of the balancers"
    " that it is on), ports, kind",
    "lab_late": "the lab's event loop runs again after it was late: since (when it had to run)",
    "day_ended": "the scenario ended",
}


def save(observations: Iterable[Observation], path: Path) -> None:
    """Write observations to a file, one per line."""
    with open(path, "w", encoding="utf-8") as file:
        for observation in observations:
            file.write(observation.line() + "\n")


def load(path: Path) -> list[Observation]:
    """Read a file that `save` wrote.

    Raises:
        OSError: The file can't be read.
        ValueError: A line is not JSON.
        KeyError: A line lacks a key that every observation has.
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
