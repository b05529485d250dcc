"""Arrivals at this balancer and their results, as sums over the recent past."""

from cypresswalk.measures import DecayingSum
from cypresswalk.model import SECOND

FLOWS_TIME_CONSTANT = 30 * SECOND  # in which a balancer among hundreds gets a few flows
ATTEMPTS_TIME_CONSTANT = 10 * SECOND  # longer than a set-up, shorter than a failure lasts


class Traffic:
    """The arrivals, completions and attempts of this balancer.

    Args:
        now: the start time of the balancer in nanoseconds.

    Attributes:
        started_at: the start time of the balancer, or of the process that it replaced.
        arrivals: flows that arrived for the first time.
        completed: established flows that ended successfully.
        setup_time: the total duration of attempts in nanoseconds, including time-outs.
        setups: the number of attempts in `setup_time`.
        denied: failed attempts, and flows rejected or aborted by this balancer.
        errors: attempts answered with an error, and flows rejected because of such errors.
        established: successful attempts.
    """

    def __init__(self, now: int):
        """Start all sums at 0."""
        self.started_at = now
        self.arrivals = DecayingSum(FLOWS_TIME_CONSTANT, now)
        self.completed = DecayingSum(FLOWS_TIME_CONSTANT, now)
        self.setup_time = DecayingSum(ATTEMPTS_TIME_CONSTANT, now)
        self.setups = DecayingSum(ATTEMPTS_TIME_CONSTANT, now)
        self.denied = DecayingSum(ATTEMPTS_TIME_CONSTANT, now)
        self.errors = DecayingSum(ATTEMPTS_TIME_CONSTANT, now)
        self.established = DecayingSum(ATTEMPTS_TIME_CONSTANT, now)

    def recent_arrivals(self, now: int) -> float:
        """Return one more than the arrivals in a time constant, so that the result is never 0."""
        return self.arrivals.read(now) + 1

    def arrival_rate(self, now: int) -> float:
        """Return the arrivals per nanosecond."""
        return self.recent_arrivals(now) / self.arrivals.time_constant

    def record_setup(self, now: int, took: int) -> None:
        """Record an attempt that took `took` nanoseconds."""
        self.setup_time.add(now, took)
        self.setups.add(now, 1)

    def mean_setup_time(self, now: int) -> float:
        """Return the mean duration of an attempt in nanoseconds."""
        return self.setup_time.read(now) / max(self.setups.read(now), 1.0)
