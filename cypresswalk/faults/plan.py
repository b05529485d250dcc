"""The plan: which faults strike which connection. Decoded from TOML, drawn from a seed, or read back from a record.

`Plan.for_connection` gives the faults of one connection; chance comes from the seed and the connection's number alone,
so that neither the machine's load nor other connections change it."""

import json
from pathlib import Path
from random import Random
from typing import ClassVar, Literal

from pydantic import Field, ValidationError, field_validator, model_validator

from cypresswalk import toml
from cypresswalk.faults.kinds import DATAGRAM_NEEDS, DATAGRAMS, NEEDS, STREAMS, Fault, Kind
from cypresswalk.refusal import CommandError

Direction = Literal["up", "down", "both"]


class Named(toml.Table):
    """A fault at a stated place."""

    connection: int | list[int] | Literal["all"] = "all"
    direction: Direction = "both"
    kind: Kind
    at: int = Field(0, ge=0, le=1 << 40)
    size: int = Field(0, ge=0, le=1 << 30)
    ms: int = Field(0, ge=0, le=3_600_000)
    rate: int = Field(0, ge=0, le=1 << 40)
    needs: ClassVar[dict[Kind, set[str]]] = NEEDS

    @field_validator("connection")
    @classmethod
    def counted_from_one(cls, value: int | list[int] | str) -> int | list[int] | str:
        if any(
            number < 1
            for number in (
                [value] if isinstance(value, int) else value if isinstance(value, list) else []
            )
        ):
            raise ValueError("connections count from 1")
        return value

    @model_validator(mode="after")
    def complete(self) -> "Named":
        needs = self.needs.get(self.kind, set())
        given = {name for name in ("size", "ms", "rate") if getattr(self, name)}
        if self.kind is Kind.SPLIT:
            needs = {"size"} | given & {
                "ms"
            }  # a gap may be left out: then reads split where the kernel lets them
        if missing := needs - given:
            raise ValueError(f"{self.kind.value} needs {' and '.join(sorted(missing))} above 0")
        if extra := given - needs:
            raise ValueError(f"{self.kind.value} takes no {' and no '.join(sorted(extra))}")
        return self

    def strikes(self, connection: int) -> bool:
        where = self.connection
        return (
            where == "all" or where == connection or isinstance(where, list) and connection in where
        )


class NamedDatagram(Named):
    """The same for UDP: `connection` is the peer, `at` the datagram's number in that direction, from 0."""

    needs: ClassVar[dict[Kind, set[str]]] = DATAGRAM_NEEDS


class Drawn(toml.Table):
    """Faults by chance: each direction of each connection gets one of the kinds with that chance."""

    needs: ClassVar[dict[Kind, set[str]]] = NEEDS
    chance: float = Field(gt=0, le=1)
    kinds: list[Kind] = Field(min_length=1)
    direction: Direction = "both"
    within: int = Field(4096, ge=1, le=1 << 30)  # the offset is below this
    size: tuple[int, int] = (1, 16)
    ms: tuple[int, int] = (1, 50)
    rate: tuple[int, int] = (1000, 100_000)
    first: int = Field(1, ge=1)  # connections from this number on

    @field_validator("size", "ms", "rate")
    @classmethod
    def range(cls, value: tuple[int, int]) -> tuple[int, int]:
        if not 1 <= value[0] <= value[1] <= 1 << 30:
            raise ValueError("a range is [least, most], both from 1 on")
        return value


class DrawnDatagram(Drawn):
    """Each datagram is struck with that chance; `within` has no meaning here."""

    needs: ClassVar[dict[Kind, set[str]]] = DATAGRAM_NEEDS


class Plan(toml.Table):
    fault: list[Named] = []
    random: list[Drawn] = []
    datagram: list[NamedDatagram] = []
    random_datagram: list[DrawnDatagram] = []

    @model_validator(mode="after")
    def kinds(self) -> "Plan":
        for name, kinds, entries in (
            ("fault", STREAMS, [[f.kind] for f in self.fault]),
            ("random", STREAMS, [r.kinds for r in self.random]),
            ("datagram", DATAGRAMS, [[f.kind] for f in self.datagram]),
            ("random_datagram", DATAGRAMS, [r.kinds for r in self.random_datagram]),
        ):
            for i, asked in enumerate(entries):
                for kind in asked:
                    if kind not in kinds:
                        allowed = ", ".join(sorted(k.value for k in kinds))
                        raise ValueError(f"{name}[{i}]: {kind.value} is not one of {allowed}")
        return self

    def for_connection(self, number: int, seed: int) -> list[Fault]:
        """The faults of one TCP connection, by direction and offset."""
        faults = []
        for i, spec in enumerate(self.fault):
            for way in ways(spec.direction) if spec.strikes(number) else ():
                faults.append(
                    at_place(spec, number, way, spec.at, Random(f"{seed}/named/{i}/{number}/{way}"))
                )
        for i, spec in enumerate(self.random):
            for way in ways(spec.direction) if number >= spec.first else ():
                chance = Random(f"{seed}/random/{i}/{number}/{way}")
                if chance.random() < spec.chance:
                    faults.append(drawn(spec, number, way, chance.randrange(spec.within), chance))
        return sorted(faults, key=lambda f: f.place)

    def for_datagram(self, peer: int, way: str, number: int, seed: int) -> list[Fault]:
        """The faults of one datagram, counted from 0 for each peer and direction."""
        faults = []
        for i, spec in enumerate(self.datagram):
            if spec.strikes(peer) and way in ways(spec.direction) and spec.at == number:
                faults.append(
                    at_place(spec, peer, way, number, Random(f"{seed}/datagram/{i}/{peer}/{way}"))
                )
        for i, spec in enumerate(self.random_datagram):
            if way in ways(spec.direction) and peer >= spec.first:
                chance = Random(f"{seed}/random_datagram/{i}/{peer}/{way}/{number}")
                if chance.random() < spec.chance:
                    faults.append(drawn(spec, peer, way, number, chance))
        return sorted(faults, key=lambda f: f.place)

    def named(self) -> list[Named]:
        return [*self.fault, *self.datagram]


def ways(direction: str) -> tuple[str, ...]:
    return ("down", "up") if direction == "both" else (direction,)


def mask(kind: Kind, chance: Random) -> int:
    return chance.randrange(1, 1 << 32) if kind is Kind.GARBLE else 0


def at_place(spec: Named, number: int, way: str, at: int, chance: Random) -> Fault:
    return Fault(number, way, at, spec.kind, spec.size, spec.ms, spec.rate, mask(spec.kind, chance))


def drawn(spec: Drawn, number: int, way: str, at: int, chance: Random) -> Fault:
    kind = chance.choice(spec.kinds)
    values = {name: chance.randint(*getattr(spec, name)) for name in ("size", "ms", "rate")}
    needs = spec.needs.get(kind, set())
    return Fault(
        number,
        way,
        at,
        kind,
        **{name: value if name in needs else 0 for name, value in values.items()},
        mask=mask(kind, chance),
    )


class Replay:
    """The faults of a record, where they were. Stands in for a plan."""

    def __init__(self, faults: list[Fault]):
        self.faults = sorted(faults, key=lambda f: f.place)

    def for_connection(self, number: int, seed: int) -> list[Fault]:
        return [fault for fault in self.faults if fault.connection == number]

    def for_datagram(self, peer: int, way: str, number: int, seed: int) -> list[Fault]:
        return [f for f in self.faults if (f.connection, f.direction, f.at) == (peer, way, number)]

    def named(self) -> list[Fault]:
        return self.faults


class Line(toml.Table):
    connection: int = Field(ge=1)
    direction: Literal["up", "down"]
    at: int = Field(ge=0)
    kind: Kind
    size: int = Field(0, ge=0)
    ms: int = Field(0, ge=0)
    rate: int = Field(0, ge=0)
    mask: int = Field(0, ge=0)


def read(path: str | Path) -> Plan:
    return toml.read(path, Plan)


def read_record(path: str | Path) -> Replay:
    """Raises Refusal where a line is none that a record holds."""
    faults = []
    try:
        with open(path, encoding="utf-8") as file:
            for number, text in enumerate(file, 1):
                try:
                    faults.append(Fault(**Line.model_validate(json.loads(text)).model_dump()))
                except ValidationError as error:
                    first = error.errors()[0]
                    raise CommandError(
                        f"{path}: line {number}: {toml.field(first['loc'])}: {toml.message(first)}"
                    ) from None
                except (ValueError, RecursionError) as error:
                    raise CommandError(f"{path}: line {number}: not JSON: {error}") from None
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(f"{path}: {error}") from None
    return Replay(faults)
