"""Whether each client got one answer in time."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import TypeAlias

from cypresswalk.lab.units import SECOND

NO_ANSWERS = ("end", "reset", "none")

# By balancer: from when until when the test bed itself killed, froze or stopped it.
Disruptions: TypeAlias = Mapping[str, Sequence[tuple[int, int]]]


@dataclass(frozen=True, slots=True)
class ClientFlow:
    """A flow as its client saw it.

    Attributes:
        id: of the flow.
        effect: in the words of the experiment file, such as "once-only".
        sent_at: when the client began to connect.
        deadline: until when it waits.
        answer: the first word of the answer, or "refused", or one of NO_ANSWERS.
        answered_at: when the answer, or its lack, was seen.
        balancer: where the client connected.
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
    """Hold flows against rule 1 as clients see it, but for those that a disruption excuses."""
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
    """Return whether its balancer was disrupted while it held the flow."""
    last = max(flow.deadline, flow.answered_at)
    return any(
        begin - slack <= last and flow.sent_at <= end + slack
        for begin, end in disruptions.get(flow.balancer, ())
    )
