"""What the commands do: a call to any balancer of the fleet, and the way out when most voters are lost for good."""

import os
import socket
import time
import uuid
from typing import Any

from cypresswalk.agreement.log import Log, Snapshot
from cypresswalk.agreement.messages import ENTRY_COMMAND
from cypresswalk.agreement.messages import Member as One
from cypresswalk.agreement.node import PersistentState
from cypresswalk.agreement.store import DamagedLogError, ForeignFileError, LogIdentity, Store
from cypresswalk.fleet.messages import (
    PROTOCOL,
    AnyFrame,
    Call,
    FrameError,
    Frames,
    Hello,
    HelloRejected,
    Result,
    pack,
)
from cypresswalk.fleet.records import HistoryRecord
from cypresswalk.fleet.state_machine import StateMachine
from cypresswalk.refusal import CommandError
from cypresswalk.state.disk import DiskFolder

RECOVERED = 1000  # versions skipped, so that none of the new group has the number of one that the old one had in force
DIAL = 1.0


class UncertainOutcomeError(Exception):
    """What was asked for may or may not come into force; `show` tells."""


def call(
    addresses: list[str],
    fleet: str,
    name: str,
    args: dict[str, Any] | None = None,
    span: float = 5.0,
) -> tuple[bool, Any]:
    """Asks the first that answers, whichever it is: it passes on to the leader. Raises Refusal where nobody could be asked, Unsure
    where one was asked and no answer came."""
    said, sent = [], False
    until = time.monotonic() + span
    for where in addresses:
        left = until - time.monotonic()
        if left <= 0:
            break
        host, _, port = where.rpartition(":")
        try:
            with socket.create_connection((host, int(port)), timeout=min(DIAL, left)) as sock:
                hello = Hello(
                    PROTOCOL, fleet, "tool", "", f"tool#{uuid.uuid4().hex[:8]}", 0, 0, "", ""
                )
                sock.sendall(
                    pack(hello) + pack(Call(1, name, (args or {}) | {"span": max(left - 0.2, 0.2)}))
                )
                sent = True
                sock.settimeout(left + 1.0)
                frame = first(sock)
        except (OSError, FrameError) as error:
            said.append(f"{where}: {error}")
            continue
        if isinstance(frame, HelloRejected):
            said.append(f"{where}: {frame.why}")
            continue
        if isinstance(frame.body, dict) and frame.body.get("unsure"):
            raise UncertainOutcomeError(str(frame.body.get("why")))
        return frame.ok, frame.body
    if sent and name not in ("status", "show", "history", "local", "settled"):
        raise UncertainOutcomeError("no answer: " + "; ".join(said))
    raise CommandError("no balancer of the fleet answers: " + "; ".join(said))


def first(sock: socket.socket) -> Result | HelloRejected:
    frames = Frames()
    while True:
        data = sock.recv(1 << 16)
        if not data:
            raise ConnectionResetError("the balancer ended the connection")
        frames.feed(data)
        frame: AnyFrame | None = frames.frame()
        if isinstance(frame, Result | HelloRejected):
            return frame


def unlike(parts: list, told: dict[str, Any]) -> list[str]:
    """A line for each part that is not whole and alike at all its holders. `parts`: number, view, holders, as who leads has them; `told`:
    by member's id, what each answered to `copies_local`."""
    held: dict[int, dict[str, tuple]] = {}
    soon = max((local.get("soon", 0) for local in told.values()), default=0)
    for ident, local in told.items():
        for number, view, whole, shut, _, _, sums in local.get("parts", ()):
            # Guards against ids whose time ends between two answers: on a busy fleet there are always some.
            held.setdefault(number, {})[ident] = (
                [view, whole, shut],
                {b: total for b, total in sums.items() if int(b) > soon},
            )
    lines = []
    for part, view, holders in parts:
        found = [held.get(part, {}).get(holder, ([], {})) for holder in holders]
        if any(shape != [view, True, False] or sums != found[0][1] for shape, sums in found):
            lines.append(
                f"part {part}, view {view}: "
                + "; ".join(f"{h.partition('#')[0]} {f}" for h, f in zip(holders, found))
            )
    return lines


def command(by: str, **args: Any) -> dict[str, Any]:
    return {"ident": uuid.uuid4().hex, "by": by, "at": time.time_ns() // 1_000_000} | args


def who() -> str:
    return os.environ.get("SUDO_USER") or os.environ.get("USER") or f"uid {os.getuid()}"


def recover(folder: str, fleet: str, name: str, by: str) -> dict[str, Any]:
    """Begins a new group from what one member of the old one has on disk: all that it has, agreed or not, since what it does not
    know to be agreed may have been promised. Raises Refusal."""
    disk = DiskFolder(folder)
    try:
        disk.lock()
        store = Store(disk)
        kept = store.load(fleet, name, lambda text: None)
    except (OSError, DamagedLogError, ForeignFileError) as error:
        raise CommandError(f"{folder}: {error}") from None
    if kept is None or kept.snapshot.index < 0:
        raise CommandError(f"{folder}: it holds nothing that was agreed")
    try:
        agreed = StateMachine(kept.snapshot.data)
        for entry in kept.entries:
            if entry.kind == ENTRY_COMMAND:
                agreed.apply(entry.data)
        state, old = agreed.state, store.life
        state.version += RECOVERED
        state.pending, state.voters, state.fenced_groups = (
            None,
            [name],
            [*state.fenced_groups, old.group][-20:],
        )
        state.history.append(
            HistoryRecord(
                state.version,
                by,
                time.time_ns() // 1_000_000,
                f"group {old.group} given up; {name} begins anew",
            )
        )
        last, term = kept.snapshot.index + len(kept.entries), max(kept.term, kept.snapshot.term) + 1
        group = f"{fleet}-{uuid.uuid4().hex[:16]}"
        before = next(
            (m for m in Log(kept.snapshot, kept.entries).members if m.id == old.member), None
        )
        mine = One(
            old.member, True, before.address if before else "", before.zone if before else ""
        )
        store.begin(
            LogIdentity(fleet, group, old.member, old.boot + 1),
            PersistentState(Snapshot(last, term, (mine,), agreed.dump()), [], term, ""),
        )
    except OSError as error:
        raise CommandError(f"{folder}: {error}") from None
    finally:
        disk.unlock()
    return {
        "group": group,
        "fenced": old.group,
        "member": old.member,
        "version": state.version,
        "out": sorted(state.removed_servers),
    }
