"""Whether the calls on the agreed settings are linearizable."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

NEVER = 1 << 62  # nanoseconds; after the end of any run


class CallOutcome(StrEnum):
    """What the caller learned."""

    YES = "yes"
    NO = "no"
    UNSURE = "unsure"  # it may have come into force, or may yet


class CallKind(StrEnum):
    """A write or a read of the settings."""

    OFFER = "offer"
    SHOW = "show"


class SettingsState(NamedTuple):
    """A version of the settings and the value that stands in it."""

    version: int
    value: int


@dataclass(frozen=True, slots=True)
class SettingsCall:
    """One call on the settings.

    Attributes:
        kind: a CallKind.
        called_at: when it was made.
        returned_at: when its answer was read.
        outcome: a CallOutcome.
        base_version: of an offer: the version that it replaces.
        value: offered or shown.
        version: made or shown; 0 where the answer did not say.
    """

    kind: str
    called_at: int
    returned_at: int
    outcome: str
    base_version: int = 0
    value: int = 0
    version: int = 0


def linearizability_violation(
    calls: Iterable[SettingsCall], initial: tuple[int, int] | SettingsState
) -> str:
    """Return why no order of the calls explains their answers, or nothing if one does.

    The settings are a register with compare-and-set. An order is sought in which each call takes
    effect at a moment between its call and its return and each answer is right: the algorithm of
    Wing and Gong (JPDC 1993) with the memory of Lowe (2017), which visits a set of completed calls
    with the state that they led to once.
    """
    # A rejected offer binds nothing here: it may have met a pending one.
    relevant = sorted(
        (call for call in calls if call.outcome != CallOutcome.NO),
        key=lambda call: call.called_at,
    )
    return _OrderSearch(relevant).violation(SettingsState(*initial))


class _OrderSearch:
    """A depth-first search for a valid order; sets of calls are bit masks."""

    def __init__(self, calls: list[SettingsCall]):
        self.calls = calls
        self.ends = [
            call.returned_at if call.outcome == CallOutcome.YES else NEVER for call in calls
        ]
        self.required = sum(
            1 << index for index, call in enumerate(calls) if call.outcome == CallOutcome.YES
        )

    def violation(self, initial: SettingsState) -> str:
        """Return why no order of the calls is valid from this initial state; "" if one is."""
        visited: set[tuple[int, SettingsState]] = set()
        stack = [(0, initial)]
        most_placed = 0
        while stack:
            done, state = stack.pop()
            if (done, state) in visited:
                continue
            visited.add((done, state))
            if done & self.required == self.required:
                return ""
            most_placed = max(most_placed, (done & self.required).bit_count())
            for index in self._next_calls(done):
                for following in self._states_after(self.calls[index], state):
                    stack.append((done | 1 << index, following))
        return (
            f"no order of {len(self.calls)} calls explains the answers; "
            f"{most_placed} of {self.required.bit_count()} could be placed"
        )

    def _next_calls(self, done: int) -> Iterator[int]:
        """Yield the calls that were made before any other one that is left had returned."""
        left = [index for index in range(len(self.calls)) if not done >> index & 1]
        first_end = min((self.ends[index] for index in left), default=NEVER)
        for index in left:
            if self.calls[index].called_at > first_end:
                return
            yield index

    def _states_after(self, call: SettingsCall, state: SettingsState) -> Iterator[SettingsState]:
        """Yield the states that a call can lead to; none if its answer is wrong in this state."""
        if call.kind == CallKind.SHOW:
            if (call.version, call.value) == state:
                yield state
        elif call.base_version == state.version:
            versions = [call.version] if call.version else self._possible_versions(state.version)
            for version in versions:
                if version > state.version:
                    yield SettingsState(version, call.value)

    def _possible_versions(self, after: int) -> list[int]:
        """Return the versions that an unsure offer may have made: the next known one decides."""
        known = {call.version for call in self.calls} | {call.base_version for call in self.calls}
        return sorted({version for version in known if version > after} | {after + 1})
