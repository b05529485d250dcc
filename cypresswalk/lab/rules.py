"""The limits that the checker holds balancers to, and what a violation of them is."""

from dataclasses import dataclass

from cypresswalk.lab.experiment import Experiment, server_names
from cypresswalk.lab.observations import Observation
from cypresswalk.lab.servers import turnover
from cypresswalk.lab.units import MILLISECOND, SECOND

# Granted beyond each limit on sockets by the platform's own rules.
DEFAULT_SLACK = 50 * MILLISECOND
# Lines of evidence that a printed violation shows.
MAX_EVIDENCE_LINES = 12


@dataclass(frozen=True, slots=True)
class TypeRule:
    """How often a flow of one type may run.

    Attributes:
        effect: "repeatable", "referenced" or "once-only", the words of the experiment file.
        scope: Where an idempotency key holds: "all", "zone" or "cell".
        window: How long an idempotency key holds, in nanoseconds.
    """

    effect: str
    scope: str
    window: int


@dataclass(frozen=True, slots=True)
class ServerRule:
    """One server's place and capacity.

    Attributes:
        zone: Its zone.
        cell: Its cell.
        capacity: Loads that it carries when warm.
        warm_up_initial_fraction: The share of its capacity that it has as it starts.
        warm_up: How long until it has the whole, in nanoseconds.
    """

    zone: str
    cell: int
    capacity: float
    warm_up_initial_fraction: float
    warm_up: int


@dataclass(frozen=True, slots=True)
class Rules:
    """The limits of one scenario.

    Attributes:
        types: By the flow type's name.
        servers: By the server's name.
        max_attempts: Attempts that one flow may take.
        drain_grace: How long after a drain a server may still get attempts, in nanoseconds.
        overload_factor: Budget of a cold server over what it serves in the overload window.
        overload_window: The span over which that budget counts, in nanoseconds.
        turnover: Loads that one place of load serves a second.
        slack: Nanoseconds granted beyond each limit.
    """

    types: dict[str, TypeRule]
    servers: dict[str, ServerRule]
    max_attempts: int
    drain_grace: int
    overload_factor: float
    overload_window: int
    turnover: float
    slack: int = DEFAULT_SLACK

    @staticmethod
    def of(experiment: Experiment) -> "Rules":
        """Return the rules that hold in an experiment."""
        settings = experiment.settings
        types = {
            flow_type.name: TypeRule(
                flow_type.effect, flow_type.scope, int(flow_type.window_ms * MILLISECOND)
            )
            for flow_type in experiment.types
        }
        servers = {
            name: ServerRule(
                group.zone,
                group.cell,
                group.cores * group.speed * group.per_core,
                group.warm_up_initial_fraction,
                int(group.warm_up_s * SECOND),
            )
            for group in experiment.servers
            for name in server_names(group)
        }
        return Rules(
            types,
            servers,
            settings.max_attempts,
            int(settings.drain_grace_ms * MILLISECOND),
            settings.overload_factor,
            int(settings.overload_window_ms * MILLISECOND),
            turnover(experiment),
        )


@dataclass(slots=True)
class Violation:
    """A rule that was broken.

    Attributes:
        rule: The rule's name.
        flow: The id of the flow; empty if of none.
        at: When, in nanoseconds of the lab's clock.
        message: What was wrong.
        evidence: The observations that show it.
    """

    rule: str
    flow: str
    at: int
    message: str
    evidence: list[Observation]

    def __str__(self) -> str:
        """Return a line that says it and the first lines of evidence."""
        shown = self.evidence[:MAX_EVIDENCE_LINES]
        lines = "".join(f"\n    {observation}" for observation in shown)
        head = f"{self.rule}: {self.flow or '-'} at {self.at / 1e9:.3f} s"
        return f"{head}: {self.message}{lines}"
