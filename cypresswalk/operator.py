"""The operator file: what an installation turns on beyond the platform's own configuration.

It is read only where PROXY_OPERATOR names one; every part is off without its table. Keys of the
file are the attributes' names.
"""

import re
from ipaddress import IPv4Address
from typing import Annotated, Literal

from pydantic import AfterValidator, Field, model_validator

from cypresswalk import toml

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,62}")
MAX_PORT = 65535
MAX_FIRST_MEMBERS = 7


def check_absolute(value: str) -> str:
    """An absolute path. Raises ValueError."""
    if not value.startswith("/"):
        raise ValueError("an absolute path")
    return value


def check_address(value: str) -> str:
    """An IPv4 address and port, HOST:PORT. Raises ValueError."""
    host, colon, port = value.rpartition(":")
    try:
        IPv4Address(host)
    except ValueError:
        colon = ""
    if not colon or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError("an IPv4 address and port")
    return value


def check_name(value: str) -> str:
    """A name of a fleet or a balancer. Raises ValueError."""
    if not NAME.fullmatch(value):
        raise ValueError("a name of letters, digits, dots, dashes and underscores, 63 at most")
    return value


Folder = Annotated[str, Field(min_length=1), AfterValidator(check_absolute)]
Address = Annotated[str, AfterValidator(check_address)]
Name = Annotated[str, AfterValidator(check_name)]


class StateTable(toml.Table):
    """`[state]`: state that is kept over restarts (docs/operators/state.md).

    Attributes:
        folder: where it is kept.
        every_s: between two snapshots, seconds.
    """

    folder: Folder
    every_s: float = Field(5, ge=0.2, le=600)


class CopiesTable(toml.Table):
    """`[fleet.copies]`: replicas of idempotency keys on other machines (docs/operators/fleet.md).

    Attributes:
        copies: replicas of each partition, in as many zones as there are.
        least: with fewer replicas nothing is reserved.
        most_ids: keys held here; 250 bytes of memory each, twice as many where others hold less.
        share: of a flow's setup latency objective, for which it waits for its reservation.
    """

    copies: int = Field(3, ge=1, le=7)
    least: int = Field(2, ge=1, le=7)
    most_ids: int = Field(1_000_000, ge=1_000, le=20_000_000)
    share: float = Field(0.5, gt=0, le=1)

    @model_validator(mode="after")
    def check_counts(self) -> "CopiesTable":
        """Raises ValueError where more replicas are needed than there are."""
        if self.least > self.copies:
            raise ValueError("least: more than copies")
        return self


class FleetTable(toml.Table):
    """`[fleet]`: balancers that agree on settings, list and releases (docs/operators/fleet.md).

    Attributes:
        fleet: the fleet's name, the same at all its balancers. name: this balancer's name, no
        other's. address: where the others reach it. folder: its own, on a disk that flushes. zone:
        its zone. first: address of each seed member by name, the same at all balancers. stated_s:
        the longest time for which two balancers may act on contradicting versions, seconds.
        without_lease: what it does without a lease: reject flows, or go on. listen: where it
        listens, if that is not `address`. copies: whether it replicates idempotency keys. via:
        where it reaches other members by name, if not at their own addresses.
    """

    fleet: Name
    name: Name
    address: Address
    folder: Folder
    zone: str = Field("", max_length=63)
    first: dict[Name, Address]
    stated_s: float = Field(5, ge=1, le=60)
    without_lease: Literal["refuse", "hold"] = "refuse"
    listen: Address | None = None
    copies: CopiesTable | None = None
    via: dict[Name, Address] = {}

    @model_validator(mode="after")
    def check_first(self) -> "FleetTable":
        """Raises ValueError where the seed members contradict each other, or this one."""
        if not 1 <= len(self.first) <= MAX_FIRST_MEMBERS:
            raise ValueError("first: one to seven members, best 3 or 5")
        if len(set(self.first.values())) != len(self.first):
            raise ValueError("first: two members have one address")
        if self.first.get(self.name, self.address) != self.address:
            raise ValueError(f"first: {self.name} stands there with another address")
        return self


class Operator(toml.Table):
    """The whole file.

    Attributes:
        state: `[state]`.
        fleet: `[fleet]`.
    """

    state: StateTable | None = None
    fleet: FleetTable | None = None


def read(path: str) -> Operator:
    """Reads an operator file. Raises CommandError with a line for each error."""
    return toml.read(path, Operator)
