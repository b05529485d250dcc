"""What command line tools ask of a fleet: calls to any balancer, and checks of their answers."""

import os
import socket
import time
import uuid
from dataclasses import dataclass, field
from typing import Any

from cypresswalk.fleet.errors import FrameError, UncertainOutcomeError
from cypresswalk.fleet.messages import (
    PROTOCOL,
    Call,
    FrameDecoder,
    Hello,
    HelloRejected,
    Result,
    encode_frame,
)
from cypresswalk.refusal import CommandError

DIAL_TIMEOUT = 1.0  # seconds
READ_SIZE = 1 << 16  # bytes
ANSWER_MARGIN = 0.2  # seconds that the balancer has less than the caller
MIN_CALL_SPAN = 0.2  # seconds
LATE_ANSWER = 1.0  # seconds that an answer is waited for beyond the span
MILLISECOND = 1_000_000
READ_ONLY_CALLS = ("status", "show", "history", "local", "settled")


def call(
    addresses: list[str],
    fleet: str,
    name: str,
    args: dict[str, Any] | None = None,
    span: float = 5.0,
) -> tuple[bool, Any]:
    """Ask the first balancer that answers, whichever it is: it forwards to the leader.

    Args:
        addresses: host:port of balancers.
        fleet: the fleet's name.
        name: of the call.
        args: its arguments.
        span: seconds to wait.

    Returns:
        Whether it was carried out, and the answer.

    Raises:
        CommandError: no balancer could be asked.
        UncertainOutcomeError: one was asked and its answer does not say what came of it.
    """
    exchange = _Exchange(fleet, name, args or {})
    until = time.monotonic() + span
    for address in addresses:
        left = until - time.monotonic()
        if left <= 0:
            break
        result = exchange.ask(address, left)
        if result is not None:
            return _outcome(result)
    raise exchange.error()


@dataclass
class _Exchange:
    """One call, at one balancer after another."""

    fleet: str
    name: str
    args: dict[str, Any]
    sent: bool = False  # to any balancer
    errors: list[str] = field(default_factory=list)  # one for each that was asked in vain

    def ask(self, address: str, left: float) -> Result | None:
        """Return a balancer's result within `left` seconds; None where there is none."""
        host, _, port = address.rpartition(":")
        timeout = min(DIAL_TIMEOUT, left)
        try:
            with socket.create_connection((host, int(port)), timeout=timeout) as sock:
                self._send(sock, left)
                sock.settimeout(left + LATE_ANSWER)
                frame = _first_answer(sock)
        except (OSError, FrameError) as error:
            self.errors.append(f"{address}: {error}")
            return None
        if isinstance(frame, HelloRejected):
            self.errors.append(f"{address}: {frame.reason}")
            return None
        return frame

    def _send(self, sock: socket.socket, left: float) -> None:
        tool_id = f"tool#{uuid.uuid4().hex[:8]}"
        hello = Hello(PROTOCOL, self.fleet, "tool", "", tool_id, 0, 0, "", "")
        args = self.args | {"span": max(left - ANSWER_MARGIN, MIN_CALL_SPAN)}
        sock.sendall(encode_frame(hello) + encode_frame(Call(1, self.name, args)))
        self.sent = True

    def error(self) -> CommandError | UncertainOutcomeError:
        """Return what to raise where no balancer has answered."""
        reasons = "; ".join(self.errors)
        if self.sent and self.name not in READ_ONLY_CALLS:
            return UncertainOutcomeError(f"no answer: {reasons}")
        return CommandError(f"no balancer of the fleet answers: {reasons}")


def _first_answer(sock: socket.socket) -> Result | HelloRejected:
    decoder = FrameDecoder()
    while True:
        data = sock.recv(READ_SIZE)
        if not data:
            raise ConnectionResetError("the balancer ended the connection")
        decoder.feed(data)
        frame = decoder.next_frame()
        if isinstance(frame, Result | HelloRejected):
            return frame


def _outcome(result: Result) -> tuple[bool, Any]:
    """Return whether the call was carried out, and the answer.

    Raises:
        UncertainOutcomeError: the balancer can't say what came of it.
    """
    if isinstance(result.body, dict) and result.body.get("unsure"):
        raise UncertainOutcomeError(str(result.body.get("why")))
    return result.ok, result.body


def differing_replicas(parts: list[Any], answers: dict[str, dict[str, Any]]) -> list[str]:
    """Return a line for each partition that is not complete and alike at all its replicas.

    Args:
        parts: number, view and replicas of each partition, as the leader has them.
        answers: by member's id, what each answered to `copies_local`.
    """
    found = _replicas_by_partition(answers)
    lines = []
    for number, view, replicas in parts:
        states = [found.get(number, {}).get(replica, ([], {})) for replica in replicas]
        complete = [view, True, False]
        if any(shape != complete or digests != states[0][1] for shape, digests in states):
            lines.append(
                f"part {number}, view {view}: "
                + "; ".join(
                    f"{replica.partition('#')[0]} {state}"
                    for replica, state in zip(replicas, states, strict=True)
                )
            )
    return lines


def _replicas_by_partition(
    answers: dict[str, dict[str, Any]],
) -> dict[int, dict[str, tuple[list[Any], dict[Any, Any]]]]:
    """Return view, complete and sealed, and digests, of each replica, by partition and member.

    Digests of keys that expire soon are left out: on a busy fleet some expire between two answers.
    """
    soon = max((local.get("soon", 0) for local in answers.values()), default=0)
    found: dict[int, dict[str, tuple[list[Any], dict[Any, Any]]]] = {}
    for member, local in answers.items():
        for number, view, complete, sealed, _, _, digests in local.get("parts", ()):
            lasting = {expiry: total for expiry, total in digests.items() if int(expiry) > soon}
            found.setdefault(number, {})[member] = [view, complete, sealed], lasting
    return found


def command_args(by: str, **args: Any) -> dict[str, Any]:
    """Return a command's arguments with a new id, its author and the wall clock."""
    at_ms = time.time_ns() // MILLISECOND
    return {"ident": uuid.uuid4().hex, "by": by, "at": at_ms} | args


def operator_name() -> str:
    """Return who runs this tool, for the record."""
    return os.environ.get("SUDO_USER") or os.environ.get("USER") or f"uid {os.getuid()}"
