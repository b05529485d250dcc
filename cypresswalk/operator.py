"""The operator file: what an installation turns on beyond the platform's own configuration. Read only where PROXY_OPERATOR
names one; every part is off without its table."""

import re
from ipaddress import IPv4Address
from typing import Annotated, Literal

from pydantic import AfterValidator, Field, model_validator

from cypresswalk import toml

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,62}")


def absolute(value: str) -> str:
    if not value.startswith("/"):
        raise ValueError("an absolute path")
    return value


def place(value: str) -> str:
    host, colon, port = value.rpartition(":")
    try:
        IPv4Address(host)
    except ValueError:
        colon = ""
    if not colon or not port.isdecimal() or not 0 < int(port) <= 65535:
        raise ValueError("an IPv4 address and port")
    return value


def named(value: str) -> str:
    if not NAME.fullmatch(value):
        raise ValueError("a name of letters, digits, dots, dashes and underscores, 63 at most")
    return value


Folder = Annotated[str, Field(min_length=1), AfterValidator(absolute)]
Place = Annotated[str, AfterValidator(place)]
Name = Annotated[str, AfterValidator(named)]


class StateTable(toml.Table):
    """`[state]`: knowledge that outlasts restarts (docs/operators/state.md)."""

    folder: Folder
    every_s: float = Field(5, ge=0.2, le=600)  # between two generations


class CopiesTable(toml.Table):
    """`[fleet.copies]`: ids of flows that must not run twice lie on further machines (docs/operators/fleet.md)."""

    copies: int = Field(
        3, ge=1, le=7
    )  # holders of each part of the ids, in as many zones as there are
    least: int = Field(2, ge=1, le=7)  # fewer holders grant nothing
    most_ids: int = Field(
        1_000_000, ge=1_000, le=20_000_000
    )  # here: 250 bytes of memory each, twice as many where others hold less
    share: float = Field(
        0.5, gt=0, le=1
    )  # of a flow's setup target: so long it waits for its claim

    @model_validator(mode="after")
    def fits(self) -> "CopiesTable":
        if self.least > self.copies:
            raise ValueError("least: more than copies")
        return self


class FleetTable(toml.Table):
    """`[fleet]`: balancers that agree (docs/operators/fleet.md)."""

    fleet: Name  # the same at all its balancers
    name: Name  # this one's, no other's
    address: Place  # where the others reach it
    folder: Folder  # its own, on a disk that flushes
    zone: str = Field("", max_length=63)
    first: dict[Name, Place]  # the members that begin the group: the same at all
    stated_s: float = Field(5, ge=1, le=60)  # no two act on contradicting versions for longer
    without_lease: Literal["refuse", "hold"] = "refuse"
    listen: Place | None = None  # where it listens, if that is not `address`
    copies: CopiesTable | None = None
    via: dict[Name, Place] = {}  # where it reaches others, if not at their own addresses

    @model_validator(mode="after")
    def fits(self) -> "FleetTable":
        if not 1 <= len(self.first) <= 7:
            raise ValueError("first: one to seven members, best 3 or 5")
        if len(set(self.first.values())) != len(self.first):
            raise ValueError("first: two members have one address")
        if self.first.get(self.name, self.address) != self.address:
            raise ValueError(f"first: {self.name} stands there with another address")
        return self


class Operator(toml.Table):
    state: StateTable | None = None
    fleet: FleetTable | None = None


def read(path: str) -> Operator:
    """Raises Refusal with a line for each wrong field."""
    return toml.read(path, Operator)
