"""Which members are chosen as replicas of a partition."""

from cypresswalk.copies.placement import PARTITIONS, choose_replicas, partition_of


def test_parts_lie_in_as_many_zones_as_there_are_and_who_leaves_takes_only_its_own_along():
    members = {f"m{i}": f"z{i % 4}" for i in range(20)}
    before = {part: choose_replicas(part, members, 3) for part in range(PARTITIONS)}
    assert all(len({members[m] for m in found}) == 3 for found in before.values())
    gone = "m7"
    after = {
        part: choose_replicas(part, {m: z for m, z in members.items() if m != gone}, 3)
        for part in range(PARTITIONS)
    }
    assert all(
        after[part] == before[part] for part in range(PARTITIONS) if gone not in before[part]
    )
    assert choose_replicas(1, {"a": "z", "b": "z"}, 3) in (("a", "b"), ("b", "a"))
    counts = [
        sum(partition_of(f"{i:016x}") == part for i in range(6400)) for part in range(PARTITIONS)
    ]
    assert min(counts) > 50 and max(counts) < 160
