"""Where other members are reached."""

from cypresswalk.fleet.member import Member
from cypresswalk.fleet.messages import Hello
from cypresswalk.fleet.unavailability import name_of
from cypresswalk.operator import FleetTable

MAX_HEARD_ADDRESSES = 1000


def host_and_port(text: str) -> tuple[str, int]:
    """Split host:port."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class AddressBook:
    """Addresses from the operator's table, the group's members, and Hellos."""

    def __init__(self, table: FleetTable):
        """Know the table's seed members."""
        self._routes = table.via
        self._seed_names = {address: name for name, address in table.first.items()}
        # By member's id, as its Hello named it: a balancer that just joined knows no members yet.
        self._heard: dict[str, str] = {}

    def on_hello(self, hello: Hello) -> None:
        """Remember where a member says that it is reached."""
        self._heard[hello.id] = hello.address
        while len(self._heard) > MAX_HEARD_ADDRESSES:
            del self._heard[next(iter(self._heard))]

    def resolve(self, member: Member, to: str) -> tuple[str, str]:
        """Return the address (empty if unknown) and id (empty if unknown) to send to.

        `to` is a member's id, or an address with a colon. The table may route a name by another
        address.
        """
        if ":" in to:
            name, member_id, address = self._seed_names.get(to, ""), "", to
        else:
            name, member_id = name_of(to), to
            address = member.address_of(to) or self._heard.get(to, "")
        return self._routes.get(name, address), member_id
