"""Addresses of the other members."""

from cypresswalk.fleet.member import Member
from cypresswalk.fleet.messages import Hello
from cypresswalk.fleet.unavailability import name_of
from cypresswalk.operator import FleetTable

MAX_LEARNED_ADDRESSES = 1000


def host_and_port(text: str) -> tuple[str, int]:
    """Split host:port."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class AddressBook:
    """Addresses of members, from the operator's table, the group's members and Hellos."""

    def __init__(self, table: FleetTable):
        """Read the seed members and the overriding addresses from the operator's table."""
        self._routes = table.via
        self._seed_names = {address: name for name, address in table.first.items()}
        # By member id, from Hello messages: a balancer that has just joined has no member list yet.
        self._learned: dict[str, str] = {}

    def on_hello(self, hello: Hello) -> None:
        """Store the address that a member states in its Hello."""
        self._learned[hello.id] = hello.address
        while len(self._learned) > MAX_LEARNED_ADDRESSES:
            del self._learned[next(iter(self._learned))]

    def resolve(self, member: Member, to: str) -> tuple[str, str]:
        """Return the address and the member id to send to, each empty if unknown.

        `to` is a member id, or an address (recognised by its colon). The operator's table may
        override the address of a name.
        """
        if ":" in to:
            name, member_id, address = self._seed_names.get(to, ""), "", to
        else:
            name, member_id = name_of(to), to
            address = member.address_of(to) or self._learned.get(to, "")
        return self._routes.get(name, address), member_id
