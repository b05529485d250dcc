"""Release plans read from files, with waves listed or derived from zones."""

from typing import Literal

import msgspec
from pydantic import Field, model_validator

from cypresswalk import toml
from cypresswalk.refusal import CommandError
from cypresswalk.rollout import release

VERSION_PATTERN = r"^[A-Za-z0-9._-]+$"  # a version is the name of a folder


class PlanFile(toml.Table):
    """The file of a release plan; its keys are the attributes' names.

    `release.Plan` documents most attributes under the same name, some under another: `since` is
    its `from_version`, `to` its `to_version`, `flows` its `min_flows`, `patience` its
    `max_hold_periods`, `worse` its `max_excess_failure_share`, `slower` its `max_setup_ratio`,
    `change_s` its `change_timeout_s`, `empty_s` its `drain_timeout_s`.

    Attributes:
        zones: the order of zones if no waves are listed; zones not listed come last.
        canary: number of members in the first wave.
        grow: factor by which each wave is larger than the one before.
    """

    name: str = Field(min_length=1, max_length=63)
    since: str = Field(min_length=1, max_length=63, pattern=VERSION_PATTERN)
    to: str = Field(min_length=1, max_length=63, pattern=VERSION_PATTERN)
    waves: list[list[str]] | None = None
    zones: list[str] = []
    canary: int = Field(1, ge=1)
    grow: float = Field(2, ge=1, le=100)
    hold_s: float = 300
    flows: int = 500
    patience: float = 3
    worse: float = 0.01
    slower: float = 1.5
    change_s: float = 120
    kind: Literal["balancers", "servers"] = "balancers"
    empty_s: float = 30

    @model_validator(mode="after")
    def check_waves_or_zones(self) -> "PlanFile":
        """Raise ValueError if both waves and zones are given."""
        if self.waves is not None and self.zones:
            raise ValueError("waves, zones: give one of them, not both")
        return self


def waves_by_zone(file: PlanFile, zones: dict[str, str]) -> list[list[str]]:
    """Return growing waves, zone by zone; no wave spans two zones.

    Args:
        file: the plan file, of which `zones`, `canary` and `grow` are used.
        zones: the zone of each member, by name.
    """
    order = file.zones + sorted(set(zones.values()) - set(file.zones))
    waves = []
    size = float(file.canary)
    for zone in order:
        names = sorted(name for name, member_zone in zones.items() if member_zone == zone)
        while names:
            waves.append(names[: int(size)])
            names = names[int(size) :]
            size *= file.grow
    return waves


def read_plan(path: str, members: dict[str, str], servers: dict[str, str]) -> list:
    """Read a plan file and return the plan's fields as a list, as the fleet's call expects it.

    Args:
        path: path of the file.
        members: the zone of each balancer, by name.
        servers: the zone of each listed server, by name.

    Raises:
        CommandError: the file has errors; the text has a line for each.
    """
    file = toml.read(path, PlanFile)
    zones = servers if file.kind == release.MemberKind.SERVERS else members
    plan = release.Plan(
        name=file.name,
        from_version=file.since,
        to_version=file.to,
        waves=file.waves if file.waves is not None else waves_by_zone(file, zones),
        hold_s=file.hold_s,
        min_flows=file.flows,
        max_hold_periods=file.patience,
        max_excess_failure_share=file.worse,
        max_setup_ratio=file.slower,
        change_timeout_s=file.change_s,
        kind=file.kind,
        drain_timeout_s=file.empty_s,
    )
    errors = release.plan_errors(plan, sorted(zones))
    errors += [
        f"zones: there is no zone {zone!r}" for zone in file.zones if zone not in zones.values()
    ]
    if errors:
        raise CommandError("\n".join(f"{path}: {line}" for line in errors))
    return list(msgspec.structs.astuple(plan))
