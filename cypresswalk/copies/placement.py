"""Choice of the members that hold each partition of the keys.

It depends only on the members' zones and on hashes of names, not on the order in which members
joined, so all members compute the same result.
"""

from functools import lru_cache
from hashlib import blake2b

PARTITIONS = 64  # with 200 members each holds about one, with 3 each holds all
# Covers 64 partitions and 200 members, all of which the leader looks up five times a second.
WEIGHT_CACHE_SIZE = 1 << 15


def partition_of(key: str) -> int:
    """Return the number of the partition that contains a key."""
    digest = blake2b(key.encode("utf-8", "surrogateescape"), digest_size=8).digest()
    return digest[0] % PARTITIONS


@lru_cache(maxsize=WEIGHT_CACHE_SIZE)
def rendezvous_weight(partition: int, member: str) -> int:
    """Return the weight of a member for a partition in rendezvous hashing."""
    digest = blake2b(f"{partition}/{member}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def choose_replicas(partition: int, members: dict[str, str], count: int) -> tuple[str, ...]:
    """Return the members that hold a partition, in as many different zones as possible.

    They are the members of highest weight (rendezvous hashing; Thaler and Ravishankar, 1998), so
    that a member that leaves moves only its own partitions.

    Args:
        partition: the number of the partition.
        members: the zone of each member, by member id.
        count: the number of members to choose.
    """
    ranked = sorted(members, key=lambda member: (-rendezvous_weight(partition, member), member))
    chosen: list[str] = []
    used_zones: set[str] = set()
    for member in ranked:
        if len(chosen) < count and members[member] not in used_zones:
            chosen.append(member)
            used_zones.add(members[member])
    for member in ranked:
        if len(chosen) < count and member not in chosen:
            chosen.append(member)
    return tuple(chosen)
