"""Which members hold which partition of the keys.

Computed from hashes of text alone, so that all members agree whatever the order of arrival.
"""

from functools import lru_cache
from hashlib import blake2b

PARTITIONS = 64  # with 200 members each holds about one, with 3 each holds all
# Room for 64 partitions and 200 members, each looked at five times a second by the leader.
WEIGHT_CACHE_SIZE = 1 << 15


def partition_of(key: str) -> int:
    """The partition of a key."""
    digest = blake2b(key.encode("utf-8", "surrogateescape"), digest_size=8).digest()
    return digest[0] % PARTITIONS


@lru_cache(maxsize=WEIGHT_CACHE_SIZE)
def weight(partition: int, member: str) -> int:
    """The member's weight for a partition."""
    digest = blake2b(f"{partition}/{member}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def choose_replicas(partition: int, members: dict[str, str], copies: int) -> tuple[str, ...]:
    """The members that hold a partition, in as many zones as there are.

    They are those of highest weight (rendezvous hashing; Thaler and Ravishankar, 1998), so that a
    member that leaves moves only its own partitions.

    Args:
        partition: its number.
        members: zone by member id.
        copies: how many to choose.
    """
    ranked = sorted(members, key=lambda member: (-weight(partition, member), member))
    chosen: list[str] = []
    used_zones: set[str] = set()
    for member in ranked:
        if len(chosen) < copies and members[member] not in used_zones:
            chosen.append(member)
            used_zones.add(members[member])
    for member in ranked:
        if len(chosen) < copies and member not in chosen:
            chosen.append(member)
    return tuple(chosen)
