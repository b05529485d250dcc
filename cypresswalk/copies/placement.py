"""Which members hold which part of the ids. The same at all: hashes of text, never the order of arrival."""

from functools import lru_cache
from hashlib import blake2b

PARTS = 64  # of the ids: with 200 members each holds about one part, with 3 all of them


def partition_of(ident: str) -> int:
    return blake2b(ident.encode("utf-8", "surrogateescape"), digest_size=8).digest()[0] % PARTS


@lru_cache(maxsize=1 << 15)  # two hundred members, each looked at five times a second by who leads
def weight(part: int, member: str) -> int:
    return int.from_bytes(blake2b(f"{part}/{member}".encode(), digest_size=8).digest(), "big")


def holders(part: int, members: dict[str, str], copies: int) -> tuple[str, ...]:
    """The `copies` members of highest weight for that part (rendezvous hashing, Thaler and Ravishankar, 1998: who leaves takes only
    its own parts along), each in another zone as long as there are zones. `members`: zone by id."""
    ranked = sorted(members, key=lambda member: (-weight(part, member), member))
    chosen: list[str] = []
    used: set[str] = set()
    for member in ranked:
        if len(chosen) < copies and members[member] not in used:
            chosen.append(member)
            used.add(members[member])
    for member in ranked:
        if len(chosen) < copies and member not in chosen:
            chosen.append(member)
    return tuple(chosen)
