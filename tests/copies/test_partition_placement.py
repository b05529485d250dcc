"""The choice of the members that hold replicas of a partition."""

from cypresswalk.copies.placement import PARTITIONS, choose_replicas, partition_of

ZONES = 4
REPLICAS = 3
MEMBERS = {f"m{i}": f"z{i % ZONES}" for i in range(20)}
KEYS = 6400


def test_replicas_are_in_different_zones():
    for partition in range(PARTITIONS):
        chosen = choose_replicas(partition, MEMBERS, REPLICAS)
        assert len({MEMBERS[name] for name in chosen}) == REPLICAS


def test_replicas_are_in_one_zone_if_there_is_no_other():
    chosen = choose_replicas(1, {"a": "z", "b": "z"}, REPLICAS)
    assert chosen in (("a", "b"), ("b", "a"))


def test_member_that_leaves_moves_only_its_own_partitions():
    remaining = {name: zone for name, zone in MEMBERS.items() if name != "m7"}
    for partition in range(PARTITIONS):
        before = choose_replicas(partition, MEMBERS, REPLICAS)
        if "m7" not in before:
            assert choose_replicas(partition, remaining, REPLICAS) == before


def test_keys_are_spread_over_all_partitions():
    partitions = [partition_of(f"{number:016x}") for number in range(KEYS)]
    counts = [partitions.count(partition) for partition in range(PARTITIONS)]
    assert min(counts) > KEYS / PARTITIONS * 0.5
    assert max(counts) < KEYS / PARTITIONS * 1.6
