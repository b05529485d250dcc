"""What comes to this balancer and how it ends, as sums over the recent past."""

from cypresswalk.measures import DecayingSum
from cypresswalk.model import SECOND

FLOWS_TIME_CONSTANT = 30 * SECOND  # a balancer among hundreds sees a few flows in it
ATTEMPTS_TIME_CONSTANT = 10 * SECOND  # long against one set-up, short against a failure


class Traffic:
    """Arrivals, completions and attempts of this balancer.

    Args:
        now: nanoseconds; when the balancer was started.

    Attributes:
        started_at: when it was started, or the process in whose place it came.
        arrivals: flows that came for the first time.
        completed: established flows that ended well.
        setup_time: nanoseconds that attempts took, time-outs included.
        setups: how many attempts `setup_time` is of.
        denied: attempts that ended in no set-up, and flows given up.
        errors: attempts answered with an error, and flows turned away because of errors.
        established: attempts that came up.
    """

    def __init__(self, now: int):
        """Begin all sums at 0."""
        self.started_at = now
        self.arrivals = DecayingSum(FLOWS_TIME_CONSTANT, now)
        self.completed = DecayingSum(FLOWS_TIME_CONSTANT, now)
        self.setup_time = DecayingSum(ATTEMPTS_TIME_CONSTANT, now)
        self.setups = DecayingSum(ATTEMPTS_TIME_CONSTANT, now)
        self.denied = DecayingSum(ATTEMPTS_TIME_CONSTANT, now)
        self.errors = DecayingSum(ATTEMPTS_TIME_CONSTANT, now)
        self.established = DecayingSum(ATTEMPTS_TIME_CONSTANT, now)

    def recent_arrivals(self, now: int) -> float:
        """Return flows in one time constant, one more than came: never none."""
        return self.arrivals.read(now) + 1

    def arrival_rate(self, now: int) -> float:
        """Return flows for each nanosecond."""
        return self.recent_arrivals(now) / self.arrivals.time_constant

    def record_setup(self, now: int, took: int) -> None:
        """Count an attempt that took that many nanoseconds."""
        self.setup_time.add(now, took)
        self.setups.add(now, 1)

    def usual_setup_time(self, now: int) -> float:
        """Return what an attempt takes here, in nanoseconds."""
        return self.setup_time.read(now) / max(self.setups.read(now), 1.0)
