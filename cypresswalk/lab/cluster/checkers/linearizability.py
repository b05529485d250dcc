"""Checker that the calls on the agreed settings are linearizable."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

NEVER = 1 << 62  # nanoseconds; after the end of any run


class CallOutcome(StrEnum):
    """The outcome of a call as its caller knows it."""

    YES = "yes"
    NO = "no"
    UNSURE = "unsure"  # it may have taken effect, or may do so later


class CallKind(StrEnum):
    """The kind of a call: a write or a read of the settings."""

    OFFER = "offer"
    SHOW = "show"


class SettingsState(NamedTuple):
    """A version of the settings and its value."""

    version: int
    value: int


@dataclass(frozen=True, slots=True)
class SettingsCall:
    """One call on the settings.

    Attributes:
        kind: the CallKind.
        called_at: when the call was made.
        returned_at: when the answer arrived.
        outcome: the CallOutcome.
        base_version: for an offer, the version that it replaces.
        value: value offered or shown.
        version: version created or shown; 0 if the answer did not contain it.
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
    """Return why the calls are not linearizable, or an empty string if they are.

    The settings are a register with compare-and-set. The search looks for an order in which each
    call takes effect between its call and its return and each answer is right. It is the algorithm
    of Wing and Gong (JPDC 1993) with the memoization of Lowe (2017), which visits each pair of a
    set of completed calls and a resulting state once.
    """
    # A rejected offer gives no constraint: a pending offer may have caused the rejection.
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
                for next_state in self._states_after(self.calls[index], state):
                    stack.append((done | 1 << index, next_state))
        return (
            f"no order of {len(self.calls)} calls explains the answers; "
            f"{most_placed} of {self.required.bit_count()} could be placed"
        )

    def _next_calls(self, done: int) -> Iterator[int]:
        """Yield the remaining calls that were made before any remaining call returned."""
        remaining = [index for index in range(len(self.calls)) if not done >> index & 1]
        first_end = min((self.ends[index] for index in remaining), default=NEVER)
        for index in remaining:
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
        """Return the versions that an unsure offer may have created.

        They are the later versions that any call names, and the next version.
        """
        known = {call.version for call in self.calls} | {call.base_version for call in self.calls}
        return sorted({version for version in known if version > after} | {after + 1})
