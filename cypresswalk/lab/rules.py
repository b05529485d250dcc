"""The limits that the checker applies to balancers, and violations of them."""

from dataclasses import dataclass

from cypresswalk.lab.experiment import Experiment, server_names
from cypresswalk.lab.observations import Observation
from cypresswalk.lab.servers import turnover
from cypresswalk.lab.units import MILLISECOND, SECOND

# The slack beyond each limit that the platform's rules allow for timing on sockets.
DEFAULT_SLACK = 50 * MILLISECOND
# Lines of evidence that a printed violation shows.
MAX_EVIDENCE_LINES = 12


@dataclass(frozen=True, slots=True)
class TypeRule:
    """The rule on repeated execution of flows of one type.

    Attributes:
        effect: "repeatable", "referenced" or "once-only", as in the experiment file.
        scope: The servers for which an idempotency key is valid: "all", "zone" or "cell".
        window: The time for which an idempotency key is valid, in nanoseconds.
    """

    effect: str
    scope: str
    window: int


@dataclass(frozen=True, slots=True)
class ServerRule:
    """One server's location and capacity.

    Attributes:
        zone: The server's zone.
        cell: The server's cell.
        capacity: The load that it can carry when warm.
        warm_up_initial_fraction: The share of its capacity that it has when it starts.
        warm_up: The time from its start to its full capacity, in nanoseconds.
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
        types: The type rules by flow type name.
        servers: The server rules by server name.
        max_attempts: The maximum number of attempts of one flow.
        drain_grace: The time after a drain's notification during which a server may still get
            attempts, in nanoseconds.
        overload_factor: The budget of a cold server, relative to the load that it can serve within
            the overload window.
        overload_window: The time window of that budget, in nanoseconds.
        turnover: The load that one unit of capacity serves per second.
        slack: The tolerance beyond each time limit, in nanoseconds.
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
    def from_experiment(experiment: Experiment) -> "Rules":
        """Return the rules of an experiment."""
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
    """A violation of a rule.

    Attributes:
        rule: The rule's name.
        flow: The id of the flow; empty for none.
        at: The time, in nanoseconds of the lab's clock.
        message: A description of the violation.
        evidence: The observations that show it.
    """

    rule: str
    flow: str
    at: int
    message: str
    evidence: list[Observation]

    def __str__(self) -> str:
        """Return a line that describes the violation, followed by the first lines of evidence."""
        shown = self.evidence[:MAX_EVIDENCE_LINES]
        lines = "".join(f"\n    {observation}" for observation in shown)
        head = f"{self.rule}: {self.flow or '-'} at {self.at / 1e9:.3f} s"
        return f"{head}: {self.message}{lines}"
