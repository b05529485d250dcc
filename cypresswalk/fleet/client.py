"""The client of command line tools: calls to any balancer of a fleet, and checks of the answers."""

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
ANSWER_MARGIN = 0.2  # seconds by which the balancer's timeout is shorter than the caller's
MIN_CALL_TIMEOUT = 0.2  # seconds
EXTRA_ANSWER_TIMEOUT = 1.0  # seconds to wait for an answer after the call's timeout
MILLISECOND = 1_000_000
READ_ONLY_CALLS = ("status", "show", "history", "local", "settled")


def call(
    addresses: list[str],
    fleet: str,
    name: str,
    args: dict[str, Any] | None = None,
    timeout: float = 5.0,
) -> tuple[bool, Any]:
    """Call a fleet through the first balancer that answers; it forwards the call to the leader.

    Args:
        addresses: host:port of balancers, tried in this order.
        fleet: the fleet's name.
        name: name of the call.
        args: its arguments.
        timeout: seconds to wait for the answer.

    Returns:
        Whether the call was carried out, and the answer.

    Raises:
        CommandError: no balancer could be reached.
        UncertainOutcomeError: the call was sent, but whether it took effect is unknown.
    """
    exchange = _Exchange(fleet, name, args or {})
    deadline = time.monotonic() + timeout
    for address in addresses:
        remaining = deadline - time.monotonic()
        if remaining <= 0:
            break
        result = exchange.ask(address, remaining)
        if result is not None:
            return _outcome(result)
    raise exchange.error()


@dataclass
class _Exchange:
    """One call, sent to one balancer after another until one answers."""

    fleet: str
    name: str
    args: dict[str, Any]
    sent: bool = False  # whether any balancer may have received the call
    errors: list[str] = field(default_factory=list)  # one for each balancer that did not answer

    def ask(self, address: str, remaining: float) -> Result | None:
        """Return a balancer's result, or None if it has not answered within `remaining` seconds."""
        host, _, port = address.rpartition(":")
        timeout = min(DIAL_TIMEOUT, remaining)
        try:
            with socket.create_connection((host, int(port)), timeout=timeout) as sock:
                self._send(sock, remaining)
                sock.settimeout(remaining + EXTRA_ANSWER_TIMEOUT)
                frame = _first_answer(sock)
        except (OSError, FrameError) as error:
            self.errors.append(f"{address}: {error}")
            return None
        if isinstance(frame, HelloRejected):
            self.errors.append(f"{address}: {frame.reason}")
            return None
        return frame

    def _send(self, sock: socket.socket, remaining: float) -> None:
        tool_id = f"tool#{uuid.uuid4().hex[:8]}"
        hello = Hello(PROTOCOL, self.fleet, "tool", "", tool_id, 0, 0, "", "")
        args = self.args | {"span": max(remaining - ANSWER_MARGIN, MIN_CALL_TIMEOUT)}
        sock.sendall(encode_frame(hello) + encode_frame(Call(1, self.name, args)))
        self.sent = True

    def error(self) -> CommandError | UncertainOutcomeError:
        """Return the exception to raise if no balancer has answered."""
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
        UncertainOutcomeError: the balancer does not know whether the call took effect.
    """
    if isinstance(result.body, dict) and result.body.get("unsure"):
        raise UncertainOutcomeError(str(result.body.get("why")))
    return result.ok, result.body


def differing_replicas(parts: list[Any], answers: dict[str, dict[str, Any]]) -> list[str]:
    """Return a line for each partition that is incomplete or differs between its replicas.

    Args:
        parts: number, view and replicas of each partition, as known to the leader.
        answers: answers to the call `copies_local`, by member id.
    """
    found = _replicas_by_partition(answers)
    lines = []
    for number, view, replicas in parts:
        states = [found.get(number, {}).get(replica, ([], {})) for replica in replicas]
        complete = [view, True, False]
        if any(status != complete or digests != states[0][1] for status, digests in states):
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
    """Return the state and digests of each replica, by partition and member.

    The state is the view and the flags complete and sealed. Digests of keys that expire soon are
    left out, since on a busy fleet some expire between two answers.
    """
    soon = max((local.get("soon", 0) for local in answers.values()), default=0)
    found: dict[int, dict[str, tuple[list[Any], dict[Any, Any]]]] = {}
    for member, local in answers.items():
        for number, view, complete, sealed, _, _, digests in local.get("parts", ()):
            lasting = {expiry: total for expiry, total in digests.items() if int(expiry) > soon}
            found.setdefault(number, {})[member] = [view, complete, sealed], lasting
    return found


def command_args(by: str, **args: Any) -> dict[str, Any]:
    """Return a command's arguments with a new id, its author and the wall clock time added."""
    at_ms = time.time_ns() // MILLISECOND
    return {"ident": uuid.uuid4().hex, "by": by, "at": at_ms} | args


def operator_name() -> str:
    """Return the name of the user who runs this tool, to be recorded as a command's author."""
    return os.environ.get("SUDO_USER") or os.environ.get("USER") or f"uid {os.getuid()}"
