"""The operator file: optional features that an installation adds to the platform's configuration.

It is read only if PROXY_OPERATOR names one. Each feature is off unless its table is present. The
keys of the file are the names of the attributes below.
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
    """Return the path unchanged; raise ValueError unless it is absolute."""
    if not value.startswith("/"):
        raise ValueError("an absolute path")
    return value


def check_address(value: str) -> str:
    """Return the address unchanged; raise ValueError unless it is IPv4:PORT."""
    host, colon, port = value.rpartition(":")
    try:
        IPv4Address(host)
    except ValueError:
        colon = ""
    if not colon or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError("an IPv4 address and port")
    return value


def check_name(value: str) -> str:
    """Return the name of a fleet or a balancer unchanged; raise ValueError if it is invalid."""
    if not NAME.fullmatch(value):
        raise ValueError("a name of letters, digits, dots, dashes and underscores, 63 at most")
    return value


Folder = Annotated[str, Field(min_length=1), AfterValidator(check_absolute)]
Address = Annotated[str, AfterValidator(check_address)]
Name = Annotated[str, AfterValidator(check_name)]


class StateTable(toml.Table):
    """`[state]`: state that is persisted across restarts (docs/operators/state.md).

    Attributes:
        folder: absolute path of the folder for the snapshots.
        every_s: interval between two snapshots, in seconds.
    """

    folder: Folder
    every_s: float = Field(5, ge=0.2, le=600)


class CopiesTable(toml.Table):
    """`[fleet.copies]`: replicas of idempotency keys on other machines (docs/operators/fleet.md).

    Attributes:
        copies: number of replicas of each partition, spread over as many zones as there are.
        least: minimum number of replicas; with fewer, no key of the partition is reserved.
        most_ids: number of keys stored here at which this balancer, as a primary, refuses new
            ones; each takes 250 bytes of memory. As a backup it stores up to twice as many, since
            primaries that store fewer keys themselves still accept new ones.
        share: fraction of a flow's setup latency objective for which it waits for its reservation.
    """

    copies: int = Field(3, ge=1, le=7)
    least: int = Field(2, ge=1, le=7)
    most_ids: int = Field(1_000_000, ge=1_000, le=20_000_000)
    share: float = Field(0.5, gt=0, le=1)

    @model_validator(mode="after")
    def check_counts(self) -> "CopiesTable":
        """Raise ValueError if more replicas are required than there are."""
        if self.least > self.copies:
            raise ValueError("least: must not be greater than copies")
        return self


class FleetTable(toml.Table):
    """`[fleet]`: balancers that agree on settings, endpoint list and releases.

    See docs/operators/fleet.md.

    Attributes:
        fleet: name of the fleet, the same at all its balancers.
        name: name of this balancer, unique in the fleet.
        address: address at which the other members reach it.
        folder: folder of this balancer alone, on a disk that honours flushes.
        zone: zone of this balancer.
        first: addresses of the seed members by name, the same at all balancers.
        stated_s: longest time for which two balancers may act on contradicting versions, in
            seconds.
        without_lease: behaviour without a lease: reject flows, or continue.
        listen: address to listen on, if it is not `address`.
        copies: options of the replication of idempotency keys; None turns it off.
        via: addresses at which to reach other members, by name, if not at their own addresses.
    """

    fleet: Name
    name: Name
    address: Address
    folder: Folder
    zone: str = Field(default="", max_length=63)
    first: dict[Name, Address]
    stated_s: float = Field(default=5, ge=1, le=60)
    without_lease: Literal["refuse", "hold"] = "refuse"
    listen: Address | None = None
    copies: CopiesTable | None = None
    via: dict[Name, Address] = {}

    @model_validator(mode="after")
    def check_first(self) -> "FleetTable":
        """Raise ValueError if the seed members contradict each other or this balancer."""
        if not 1 <= len(self.first) <= MAX_FIRST_MEMBERS:
            raise ValueError("first: must name one to seven members, preferably 3 or 5")
        if len(set(self.first.values())) != len(self.first):
            raise ValueError("first: two members have the same address")
        if self.first.get(self.name, self.address) != self.address:
            raise ValueError(f"first: {self.name} is listed with another address")
        return self


class OperatorFile(toml.Table):
    """An operator file.

    Attributes:
        state: table `[state]`.
        fleet: table `[fleet]`.
    """

    state: StateTable | None = None
    fleet: FleetTable | None = None


def read(path: str) -> OperatorFile:
    """Read an operator file; raise CommandError with one line for each error."""
    return toml.read(path, OperatorFile)
