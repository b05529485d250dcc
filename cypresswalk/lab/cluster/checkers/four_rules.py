"""Checker of the lab's four rules over all balancers of a cluster together."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from cypresswalk.lab.checker import check
from cypresswalk.lab.cluster.checkers.answers import ClientFlow, Disruptions, is_excused
from cypresswalk.lab.observations import Observation
from cypresswalk.lab.rules import Rules

ONCE_ONLY = "once-only"  # an effect, as in the experiment file


class Execution(NamedTuple):
    """The execution of a flow by a server."""

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
    """Apply the checker of single balancers to the events of all balancers.

    Rules 1 and 2 are checked for each flow, rule 3 by each balancer's own endpoint list, rule 4
    over the sum of all. A flow whose balancer the testbed froze or killed meanwhile counts as one
    whose client left.
    """
    lost = [flow for flow in flows if is_excused(flow, disruptions, slack)]
    lost_ids = {flow.id for flow in lost}
    events = [
        _as_client_left(observation)
        if observation.kind == "answer" and observation.flow in lost_ids
        else observation
        for observation in observations
    ]
    events += [Observation(flow.sent_at, "left", flow.id, flow.balancer, {}) for flow in lost]
    return [str(violation) for violation in check(events, rules)]


def _as_client_left(answer: Observation) -> Observation:
    return Observation(answer.at, "left", answer.flow, answer.subject, answer.fields)


def repeated_executions(
    executions: Iterable[Execution | tuple[str, str, str]],
) -> list[str]:
    """Check rule 2 from the servers' side: a once-only flow runs once, at one server."""
    servers_by_flow: dict[str, list[str]] = defaultdict(list)
    for flow, effect, server in executions:
        if effect == ONCE_ONLY:
            servers_by_flow[flow].append(server)
    return [
        f"once-only flow {flow} ran at {', '.join(servers)}"
        for flow, servers in servers_by_flow.items()
        if len(servers) > 1
    ]
