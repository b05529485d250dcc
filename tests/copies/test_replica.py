"""One replica or a few, with messages delivered by the test: views, reservations, outcomes."""

import pytest

from cypresswalk.copies.effects import AnswerRequest, Effect, SendMessage, WriteChange
from cypresswalk.copies.messages import PartitionMessage, ViewBegun
from cypresswalk.copies.partition import Partition
from cypresswalk.copies.replica import Replica
from cypresswalk.copies.reservations import ReservationAnswer

PARTITION = 0
# Expiry time of reservations that must not expire in a test, as wall time in nanoseconds.
NEVER = 1 << 50


def replica_in_first_view(name: str, members: tuple[str, ...], **limits: int) -> Replica:
    """Return a complete replica of a partition that is in its first view."""
    replica = Replica(name, **limits)
    replica.fetch(PARTITION, 1, "")
    replica.begin_view(PARTITION, 1, members)
    replica.effects.clear()
    return replica


def answer(token: object, result: str, owner: str = "", outcome: str = "") -> AnswerRequest:
    """Return the effect that answers a request."""
    return AnswerRequest(token, ReservationAnswer(result, owner, outcome))


def message_to(receiver: str, effects: list[Effect]) -> PartitionMessage:
    """Return the first message to a replica among the effects."""
    sent = [effect for effect in effects if isinstance(effect, SendMessage)]
    message = next(effect.message for effect in sent if effect.receiver == receiver)
    assert isinstance(message, PartitionMessage)
    return message


def results(effects: list[Effect]) -> list[str]:
    """Return the results of all answers among the effects."""
    return [effect.answer.result for effect in effects if isinstance(effect, AnswerRequest)]


def test_replica_that_missed_a_view_is_not_complete_in_the_next():
    """Other replicas may have granted keys in the view that this one missed."""
    replica = replica_in_first_view("b", ("a", "b"))
    replica.begin_view(PARTITION, 3, ("b", "a"))
    replica.effects.clear()
    replica.reserve(0, PARTITION, "x", "n1", 10, "t")
    refusal = ReservationAnswer("again", reason="not the acting primary of the partition")
    assert replica.effects == [AnswerRequest("t", refusal)]


def test_replica_restored_with_a_missed_view_is_not_complete():
    restored = Replica("b")
    first_view = ViewBegun(PARTITION, 1, ("a", "b"), True)
    third_view = ViewBegun(PARTITION, 3, ("b", "a"), False)
    restored.restore([first_view, third_view])
    assert not restored.partition(PARTITION).complete
    assert not restored.seal(PARTITION, 3)


def test_replica_that_lost_its_disk_grants_nothing_in_a_view_that_includes_it():
    emptied = Replica("b")
    emptied.begin_view(PARTITION, 1, ("b", "a"))
    emptied.fetch(PARTITION, 1, "")
    emptied.reserve(0, PARTITION, "x", "n1", 10, "t")
    assert not emptied.partition(PARTITION).complete
    assert results(emptied.effects) == ["again"]
    assert not emptied.seal(PARTITION, 1)


def test_keys_beyond_the_limit_are_refused_until_others_expire():
    replica = replica_in_first_view("a", ("a",), max_records=5)
    for number in range(8):
        replica.reserve(10, PARTITION, f"i{number}", "n1", 20, number)
    assert results(replica.effects) == ["granted"] * 5 + ["refused"] * 3
    assert replica.record_count == 5
    replica.reserve(21, PARTITION, "late", "n1", 30, 9)
    assert results(replica.effects)[-1] == "granted"
    assert replica.record_count == 1


def deliver_all(replicas: list[Replica]) -> None:
    """Deliver the replicas' messages until none are left."""
    by_name = {replica.member_id: replica for replica in replicas}
    while any(replica.effects for replica in replicas):
        for replica in replicas:
            for effect in replica.take_effects():
                if isinstance(effect, SendMessage):
                    assert isinstance(effect.message, PartitionMessage)
                    by_name[effect.receiver].on_message(replica.member_id, effect.message)


@pytest.fixture
def diverged_replicas() -> list[Replica]:
    """Return replicas a, b and c in their second view; a and b have a record that c lacks.

    The first primary, a, never received the confirmation of b, so the key was not granted.
    """
    replicas = [replica_in_first_view(name, ("a", "b", "c")) for name in "abc"]
    primary, backup, _ = replicas
    primary.reserve(0, PARTITION, "x", "n1", NEVER, "t")
    backup.on_message("a", message_to("b", primary.effects))
    for replica in replicas:
        replica.begin_view(PARTITION, 2, ("c", "b", "a"))
        replica.effects.clear()
    return replicas


def test_record_of_some_replicas_is_replicated_to_all_after_a_view_change(diverged_replicas):
    primary = diverged_replicas[2]
    primary.compare_digests(PARTITION)
    deliver_all(diverged_replicas)
    partitions = [replica.partition(PARTITION) for replica in diverged_replicas]
    assert [sorted(partition.records) for partition in partitions] == [["x"]] * 3
    assert len({tuple(partition.digests.items()) for partition in partitions}) == 1
    primary.reserve(0, PARTITION, "x", "n2", NEVER, "t2")
    assert primary.effects[-1] == answer("t2", "held", "n1", "out")


def test_digests_are_unchanged_when_records_are_replaced_and_removed_with_them(diverged_replicas):
    replica = diverged_replicas[0]
    partition = replica.partition(PARTITION)
    before = dict(partition.digests)
    replica.state.replace(partition, list(partition.records.values()))
    assert partition.digests == before != {}
    for other in diverged_replicas:
        other.expire(NEVER * 2, other.partition(PARTITION))
        assert not other.partition(PARTITION).records
        assert not other.partition(PARTITION).digests


class ReplicaPair:
    """A primary a and its backup b; the test delivers their messages."""

    def __init__(self) -> None:
        """Create both in the first view."""
        self.primary = replica_in_first_view("a", ("a", "b"))
        self.backup = replica_in_first_view("b", ("a", "b"))

    def replicate(self) -> None:
        """Deliver the primary's record to the backup, and the confirmation to the primary."""
        sent = message_to("b", self.primary.take_effects())
        self.backup.on_message("a", sent)
        write, reply = self.backup.take_effects()
        assert isinstance(write, WriteChange)
        assert isinstance(reply, SendMessage)
        self.primary.on_message("b", message_to("a", [reply]))


@pytest.fixture
def pair() -> ReplicaPair:
    """Return a primary and its backup."""
    return ReplicaPair()


def test_key_is_granted_to_the_first_owner_once_the_backup_has_the_record(pair):
    primary = pair.primary
    primary.reserve(0, PARTITION, "x", "n1", 10, "t1")
    primary.reserve(0, PARTITION, "x", "n2", 10, "t2")
    assert primary.effects.pop() == answer("t2", "held", "n1", "out")
    write, send = primary.effects
    assert isinstance(write, WriteChange)
    assert isinstance(send, SendMessage)
    assert send.receiver == "b"
    pair.replicate()
    assert primary.effects == [answer("t1", "granted", "n1", "out")]


def test_repeated_request_is_answered_once_the_backup_has_the_record(pair):
    primary = pair.primary
    primary.reserve(0, PARTITION, "x", "n1", 10, "t1")
    effects_of_first = list(primary.effects)
    primary.reserve(0, PARTITION, "x", "n1", 10, "t3")
    assert primary.effects == effects_of_first
    pair.replicate()
    assert primary.effects == [
        answer("t1", "granted", "n1", "out"),
        answer("t3", "granted", "n1", "out"),
    ]


def test_outcome_is_accepted_only_from_the_owner_and_returned_to_later_requests(pair):
    primary = pair.primary
    primary.reserve(0, PARTITION, "x", "n1", 10, "t1")
    pair.replicate()
    primary.effects.clear()
    primary.end_reservation(PARTITION, "x", "n2", "ran", "t4")
    assert results([primary.effects.pop()]) == ["refused"]
    primary.end_reservation(PARTITION, "x", "n1", "ran", "t5")
    pair.replicate()
    assert primary.effects[-1] == answer("t5", "held", "n1", "ran")
    primary.reserve(0, PARTITION, "x", "n1", 10, "t6")
    assert primary.effects[-1] == answer("t6", "held", "n1", "ran")
    assert isinstance(primary.partition(PARTITION), Partition)
    assert pair.backup.partition(PARTITION).records["x"].outcome == "ran"


def test_requests_during_the_replication_of_an_outcome_are_answered_once_the_backup_has_it(pair):
    # An answer before that could be contradicted by the next primary, which lacks the outcome.
    primary = pair.primary
    primary.reserve(0, PARTITION, "x", "n1", 10, "t1")
    pair.replicate()
    primary.effects.clear()
    primary.end_reservation(PARTITION, "x", "n1", "never", "t2")
    effects_of_first = list(primary.effects)
    primary.end_reservation(PARTITION, "x", "n1", "never", "t3")
    primary.end_reservation(PARTITION, "x", "n1", "unknown", "t4")
    primary.reserve(0, PARTITION, "x", "n1", 10, "t5")
    primary.reserve(0, PARTITION, "x", "n2", 10, "t6")
    assert primary.effects == effects_of_first
    pair.replicate()
    waiting = ("t2", "t3", "t4", "t5", "t6")
    assert primary.effects == [answer(token, "held", "n1", "never") for token in waiting]


def test_outcome_that_only_the_new_primary_has_is_replicated_before_it_is_answered(pair):
    # The primary before it ended while the outcome was being replicated.
    primary, backup = pair.primary, pair.backup
    primary.reserve(0, PARTITION, "x", "n1", 10, "t1")
    pair.replicate()
    primary.end_reservation(PARTITION, "x", "n1", "never", "t2")
    for replica in (primary, backup):
        replica.begin_view(PARTITION, 2, ("a", "b"))
        replica.effects.clear()
    primary.end_reservation(PARTITION, "x", "n1", "never", "t3")
    primary.reserve(0, PARTITION, "x", "n2", 10, "t4")
    assert not results(primary.effects)
    pair.replicate()
    assert primary.effects == [answer(token, "held", "n1", "never") for token in ("t3", "t4")]
    assert backup.partition(PARTITION).records["x"].outcome == "never"
