"""Checker that each client got one answer in time."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import TypeAlias

from cypresswalk.lab.units import SECOND

NO_ANSWERS = ("end", "reset", "none")

# Begin and end of each span in which the testbed itself killed, froze or stopped a balancer.
Disruptions: TypeAlias = Mapping[str, Sequence[tuple[int, int]]]


@dataclass(frozen=True, slots=True)
class ClientFlow:
    """A flow as observed by its client.

    Attributes:
        id: id of the flow.
        effect: effect of a repeated request, as in the experiment file, such as "once-only".
        sent_at: when the client began to connect.
        deadline: when the client stops waiting.
        answer: the first word of the answer, or "refused", or one of NO_ANSWERS.
        answered_at: when the client got the answer, or noticed that there is none.
        balancer: balancer that the client connected to.
    """

    id: str
    effect: str
    sent_at: int
    deadline: int
    answer: str
    answered_at: int
    balancer: str


def missing_or_late_answers(
    flows: Iterable[ClientFlow], disruptions: Disruptions, slack: int
) -> list[str]:
    """Check rule 1 from the clients' side, except for flows that a disruption excuses.

    `slack` is the tolerance added to deadlines and disruptions, nanoseconds.
    """
    violations = []
    for flow in flows:
        if is_excused(flow, disruptions, slack):
            continue
        name = f"flow {flow.id} at {flow.balancer}"
        if flow.answer in NO_ANSWERS:
            violations.append(f"{name} got no answer ({flow.answer})")
        elif flow.answered_at > flow.deadline + slack:
            late = (flow.answered_at - flow.deadline) / SECOND
            violations.append(f"{name} was answered {late:.3f} s late")
    return violations


def is_excused(flow: ClientFlow, disruptions: Disruptions, slack: int) -> bool:
    """Return whether the flow's balancer was disrupted while it served the flow."""
    last = max(flow.deadline, flow.answered_at)
    return any(
        begin - slack <= last and flow.sent_at <= end + slack
        for begin, end in disruptions.get(flow.balancer, ())
    )
