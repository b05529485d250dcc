"""The decoder of the endpoint list that discovery sends."""

import logging
import reprlib
from hashlib import blake2b
from typing import Any

from cypresswalk.hosting import nanoseconds, usable_weight
from cypresswalk.model import EndpointUpdate, Server, ServerState
from cypresswalk.net.config import Address, parse_address
from cypresswalk.net.errors import ConfigError, ProtocolError
from cypresswalk.net.logs import event

STATES = {
    "in_service": ServerState.READY,
    "terminating": ServerState.DRAINING,
    "terminated": ServerState.GONE,
}
UNKNOWN_ZONE = -1
SERVER_NUMBER_BYTES = 4  # width of the number in gossip
log = logging.getLogger(__name__)


def stable_hash(text: str, width_bytes: int = 8) -> int:
    """Return a hash of the text that is the same in all balancers and after every restart."""
    return int.from_bytes(blake2b(text.encode(), digest_size=width_bytes).digest(), "little")


def server_number(ident: str) -> int:
    """Return the number that identifies a server within the balancer and in gossip."""
    return stable_hash(ident, SERVER_NUMBER_BYTES)


class EndpointListDecoder:
    """Decodes the lists of one address of discovery.

    Attributes:
        zones: Index of each zone in the settings, by name.
        version: Version of the last list, from which discovery is asked to continue.
        names: Servers' ids by number, shared by the decoders of all addresses.
    """

    def __init__(self, zones: dict[str, int], names: dict[int, str] | None = None):
        """Create a decoder that has seen no list.

        Args:
            zones: Index of each zone in the settings, by name.
            names: Servers' ids by number that another decoder has collected.
        """
        self.zones = zones
        self.version = 0
        self.names: dict[int, str] = {} if names is None else names

    def for_other_address(self) -> "EndpointListDecoder":
        """Return a decoder for another address, whose versions are unrelated to this one's."""
        return EndpointListDecoder(self.zones, self.names)

    def decode(self, data: object) -> tuple[EndpointUpdate, list[tuple[Server, Address]]]:
        """Return the kind of update and its servers; log and skip malformed entries.

        Raises:
            ProtocolError: The data is not an endpoint list.
        """
        instances = data.get("instances") if isinstance(data, dict) else None
        if not isinstance(data, dict) or not isinstance(instances, list):
            raise ProtocolError("the list has no instances")
        version = data.get("generation")
        if isinstance(version, int):
            self.version = version
        entries = []
        for item in instances:
            try:
                entries.append(self._decode_entry(item))
            except (KeyError, TypeError, ValueError, AttributeError, ConfigError) as error:
                log.warning(event("entry_malformed", entry=reprlib.repr(item), error=error))
        return EndpointUpdate.FULL if data.get("reset") is True else EndpointUpdate.DELTA, entries

    def _decode_entry(self, item: dict) -> tuple[Server, Address]:
        ident = item["instanceId"]
        state = STATES[item["lifecycle"]]
        number = server_number(ident)
        if self.names.setdefault(number, ident) != ident:
            raise ValueError(f"its hash is that of {self.names[number]}")
        zone: Any = item.get("zone")  # of any JSON type; one that is not in the settings is unknown
        cell = item.get("cell") or 0
        server = Server(
            id=number,
            zone=self.zones.get(zone, UNKNOWN_ZONE),
            cell=cell if isinstance(cell, int) else stable_hash(cell),
            weight=usable_weight(float(item.get("weight") or 1.0)),
            started_at=max(nanoseconds(item.get("startedAtMs") or 0, "startedAtMs"), 0),
            state=state,
        )
        return server, parse_address(item["hostPort"], "hostPort")
