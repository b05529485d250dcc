"""Decoding of the state that a process hands over: a malformed state is refused as a whole."""

from collections.abc import Callable
from typing import Any

import pytest
from handover_helpers import HandoverProcess

from cypresswalk.net.errors import ProtocolError
from cypresswalk.net.handover_state import PredecessorState, StateReceiver, state_messages


def decode(messages: dict[str, Any]) -> PredecessorState:
    """Return the state that a successor decodes from the messages."""
    receiver = StateReceiver(messages["state"])
    receiver.add({"servers": messages["servers"]})
    receiver.add({"ids": messages["ids"]})
    receiver.add({"open_ids": messages["open_ids"]})
    return receiver.decode()


@pytest.fixture
def messages() -> dict[str, Any]:
    """Return all messages of the state of a process with three servers, by name."""
    process = HandoverProcess()
    process.establish(3)
    merged: dict[str, Any] = {}
    for message in state_messages(process.now, process.core, process.process_drivers):
        merged |= message
    return merged


def test_unknown_fields_of_a_later_version_are_ignored(messages):
    messages["servers"][0]["a later field"] = 1
    assert len(decode(messages).servers) == 3


@pytest.mark.parametrize(
    "corrupt",
    [
        lambda m: m["state"].pop("now"),
        lambda m: m["state"].update(version="x"),
        lambda m: m["servers"][0].update(limit=float("nan")),
        lambda m: m["servers"][0].update(strain=float("nan")),
        lambda m: m["servers"][0].update(delay=float("nan")),
        lambda m: m["servers"][0].update(cut_delay=float("nan")),
        lambda m: m["servers"][0].update(state="asleep"),
        lambda m: m["servers"][0].update(address="nowhere"),
        lambda m: m["servers"][0].update(weight=0),
        lambda m: m["servers"][0].update(health=-1),
        lambda m: m["ids"].append("x"),
        lambda m: m["open_ids"].append("x"),
        lambda m: m["servers"].append(7),
        lambda m: m["servers"][0].update(dealt=[float("inf"), 1]),
        lambda m: m["servers"][0].pop("name"),
    ],
)
def test_state_that_is_malformed_anywhere_is_refused(messages, corrupt: Callable[[Any], object]):
    assert len(decode(messages).servers) == 3
    corrupt(messages)
    with pytest.raises(ProtocolError):
        decode(messages)
