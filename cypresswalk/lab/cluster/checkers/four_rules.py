"""The four rules of the lab, held over all balancers of a cluster together."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from cypresswalk.lab.checker import check
from cypresswalk.lab.cluster.checkers.answers import ClientFlow, Disruptions, is_excused
from cypresswalk.lab.observations import Observation
from cypresswalk.lab.rules import Rules

ONCE_ONLY = "once-only"  # an effect, in the words of the experiment file


class Execution(NamedTuple):
    """A flow that ran at a server."""

    flow: str
    effect: str
    server: str


def rule_violations(
    observations: Iterable[Observation],
    rules: Rules,
    flows: Sequence[ClientFlow],
    disruptions: Disruptions,
    slack: int,
) -> list[str]:
    """Apply the lab's own checker.

    Rules 1 and 2 hold flow by flow, 3 by what each balancer's own list told it, 4 over the sum of
    all. A flow that a balancer held while the test bed froze or killed it counts as one whose
    client left.
    """
    lost = [flow for flow in flows if is_excused(flow, disruptions, slack)]
    lost_ids = {flow.id for flow in lost}
    events = [
        _as_left(observation)
        if observation.kind == "answer" and observation.flow in lost_ids
        else observation
        for observation in observations
    ]
    events += [Observation(flow.sent_at, "left", flow.id, flow.balancer, {}) for flow in lost]
    return [str(violation) for violation in check(events, rules)]


def _as_left(answer: Observation) -> Observation:
    return Observation(answer.at, "left", answer.flow, answer.subject, answer.fields)


def repeated_executions(
    executions: Iterable[Execution | tuple[str, str, str]],
) -> list[str]:
    """Hold what servers ran against rule 2: a once-only flow runs at one server once."""
    servers_by_flow: dict[str, list[str]] = defaultdict(list)
    for flow, effect, server in executions:
        if effect == ONCE_ONLY:
            servers_by_flow[flow].append(server)
    return [
        f"once-only flow {flow} ran at {', '.join(servers)}"
        for flow, servers in servers_by_flow.items()
        if len(servers) > 1
    ]
