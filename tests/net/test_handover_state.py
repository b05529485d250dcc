"""What a process hands over: nothing of a malformed state is believed."""

from collections.abc import Callable
from typing import Any

import pytest
from handover_helpers import HandoverProcess

from cypresswalk.net.errors import ProtocolError
from cypresswalk.net.handover_state import PredecessorState, StateReceiver, state_messages


def decode(messages: dict[str, Any]) -> PredecessorState:
    """What a successor reads in the messages."""
    receiver = StateReceiver(messages["state"])
    receiver.add({"servers": messages["servers"]})
    receiver.add({"ids": messages["ids"]})
    return receiver.decode()


@pytest.fixture
def messages() -> dict[str, Any]:
    """All messages of a process that serves three servers, by name."""
    process = HandoverProcess()
    process.establish(3)
    together: dict[str, Any] = {}
    for message in state_messages(process.now, process.core, process.process_drivers):
        together |= message
    return together


def test_unknown_fields_of_a_later_version_are_passed_over(messages):
    messages["servers"][0]["a later field"] = 1
    assert len(decode(messages).servers) == 3


@pytest.mark.parametrize(
    "spoil",
    [
        lambda m: m["state"].pop("now"),
        lambda m: m["state"].update(version="x"),
        lambda m: m["servers"][0].update(limit=float("nan")),
        lambda m: m["servers"][0].update(state="asleep"),
        lambda m: m["servers"][0].update(address="nowhere"),
        lambda m: m["servers"][0].update(weight=0),
        lambda m: m["servers"][0].update(health=-1),
        lambda m: m["ids"].append("x"),
        lambda m: m["servers"].append(7),
        lambda m: m["servers"][0].update(dealt=[float("inf"), 1]),
        lambda m: m["servers"][0].pop("name"),
    ],
)
def test_state_that_is_malformed_anywhere_is_refused(messages, spoil: Callable[[Any], object]):
    assert len(decode(messages).servers) == 3
    spoil(messages)
    with pytest.raises(ProtocolError):
        decode(messages)
