"""The file that a release is started from: its waves named, or drawn up from zones and a first small one."""

from typing import Literal

import msgspec
from pydantic import Field, model_validator

from cypresswalk import toml
from cypresswalk.refusal import CommandError
from cypresswalk.rollout import release


class File(toml.Table):
    name: str = Field(min_length=1, max_length=63)
    since: str = Field(
        min_length=1, max_length=63, pattern=r"^[A-Za-z0-9._-]+$"
    )  # a folder's name: the version that runs
    to: str = Field(min_length=1, max_length=63, pattern=r"^[A-Za-z0-9._-]+$")
    waves: list[list[str]] | None = None
    zones: list[str] = []  # in which order, where no waves are named; those not named come last
    canary: int = Field(1, ge=1)  # balancers of the first wave
    grow: float = Field(2, ge=1, le=100)  # times that each further wave is larger
    hold_s: float = 300
    flows: int = 500
    patience: float = 3
    worse: float = 0.01
    slower: float = 1.5
    change_s: float = 120
    kind: Literal["balancers", "servers"] = "balancers"
    empty_s: float = 30

    @model_validator(mode="after")
    def fits(self) -> "File":
        if self.waves is not None and self.zones:
            raise ValueError("waves, zones: one of them")
        return self


def drawn_up(file: File, zones: dict[str, str]) -> list[list[str]]:
    """Zone by zone, in waves that grow and do not cross from one zone to the next."""
    order = file.zones + sorted(set(zones.values()) - set(file.zones))
    waves, size = [], float(file.canary)
    for zone in order:
        names = sorted(name for name, there in zones.items() if there == zone)
        while names:
            wave, names = names[: int(size)], names[int(size) :]
            waves.append(wave)
            size *= file.grow
    return waves


def read(path: str, members: dict[str, str], servers: dict[str, str]) -> list:
    """A plan as the fleet takes it. `members`, `servers`: the zone of each, by name. Raises Refusal with a line for each thing that is
    wrong."""
    file = toml.read(path, File)
    zones = servers if file.kind == "servers" else members
    waves = file.waves if file.waves is not None else drawn_up(file, zones)
    plan = release.Plan(
        file.name,
        file.since,
        file.to,
        waves,
        file.hold_s,
        file.flows,
        file.patience,
        file.worse,
        file.slower,
        file.change_s,
        file.kind,
        file.empty_s,
    )
    wrong = release.objection(plan, sorted(zones))
    wrong += [
        f"zones: there is no zone {zone!r}" for zone in file.zones if zone not in zones.values()
    ]
    if wrong:
        raise CommandError("\n".join(f"{path}: {line}" for line in wrong))
    return list(msgspec.structs.astuple(plan))
