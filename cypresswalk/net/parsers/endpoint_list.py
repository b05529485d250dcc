"""Decodes discovery's list of servers. Knows no socket."""

import logging
import reprlib
from hashlib import blake2b

from cypresswalk.hosting import nanoseconds, usable_weight
from cypresswalk.model import EndpointUpdate, Server, ServerState
from cypresswalk.net.config import Address, ConfigError, address
from cypresswalk.net.logs import event
from cypresswalk.net.parsers.lines import ProtocolError

STATES = {
    "in_service": ServerState.READY,
    "terminating": ServerState.DRAINING,
    "terminated": ServerState.GONE,
}
log = logging.getLogger(__name__)


def number_of(text: str, width: int = 8) -> int:
    """The same for a text at every balancer and after every restart. Servers' numbers are four bytes wide, as
    the hints between balancers carry them."""
    return int.from_bytes(blake2b(text.encode(), digest_size=width).digest(), "little")


def server_number(ident: str) -> int:
    return number_of(ident, 4)


class EndpointListDecoder:
    """What the last list told beside what the module keeps: addresses, and the version to go on from."""

    def __init__(self, zones: dict[str, int], names: dict[int, str] | None = None):
        self.zones = zones
        self.version = 0
        self.names: dict[int, str] = {} if names is None else names

    def elsewhere(self) -> "EndpointListDecoder":
        """For another address, whose versions need not be this one's: from the first one on."""
        return EndpointListDecoder(self.zones, self.names)

    def decode(self, data: object) -> tuple[EndpointUpdate, list[tuple[Server, Address]]]:
        """An odd entry is logged and passed over."""
        if not isinstance(data, dict) or not isinstance(data.get("instances"), list):
            raise ProtocolError("the list has no instances")
        version = data.get("generation")
        if isinstance(version, int):
            self.version = version
        entries = []
        for item in data["instances"]:
            try:
                entries.append(self.entry(item))
            except (KeyError, TypeError, ValueError, AttributeError, ConfigError) as error:
                log.warning(event("entry_odd", entry=reprlib.repr(item), why=error))
        return EndpointUpdate.FULL if data.get("reset") is True else EndpointUpdate.DELTA, entries

    def entry(self, item: dict) -> tuple[Server, Address]:
        ident, state = item["instanceId"], STATES[item["lifecycle"]]
        number = server_number(ident)
        if self.names.setdefault(number, ident) != ident:
            raise ValueError(f"its number is that of {self.names[number]}")
        cell = item.get("cell") or 0
        server = Server(
            id=number,
            zone=self.zones.get(item.get("zone"), -1),
            cell=cell if isinstance(cell, int) else number_of(cell),
            weight=usable_weight(float(item.get("weight") or 1.0)),
            started_at=max(nanoseconds(item.get("startedAtMs") or 0, "startedAtMs"), 0),
            state=state,
        )
        return server, address(item["hostPort"], "hostPort")
