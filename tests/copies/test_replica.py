"""One replica, or a few, by hand: views, reservations and their outcomes."""

from cypresswalk.copies.effects import AnswerRequest, SendMessage, WriteChange
from cypresswalk.copies.messages import (
    ViewBegun,
)
from cypresswalk.copies.partition import Partition
from cypresswalk.copies.replica import Replica
from cypresswalk.copies.reservations import ReservationAnswer


def test_one_that_was_away_for_a_view_is_not_whole_though_it_held_the_part_before():
    away = Replica("b")
    away.fetch(0, 1, "")
    away.begin_view(0, 1, ("a", "b"))
    away.begin_view(0, 3, ("b", "a"))  # the second, in which others granted, it never heard of
    away.effects.clear()
    away.reserve(0, 0, "x", "n1", 10, "t")
    assert away.effects == [
        AnswerRequest("t", ReservationAnswer("again", reason="not the primary of that part now"))
    ]
    restored = Replica("b")
    restored.restore([ViewBegun(0, 1, ("a", "b"), True), ViewBegun(0, 3, ("b", "a"), False)])
    assert not restored.partition(0).complete and not restored.seal(0, 3)


def test_one_that_lost_its_disk_does_not_begin_a_view_that_is_agreed_with_nothing():
    again = Replica("b")  # the same name, an empty folder
    again.begin_view(0, 1, ("b", "a"))
    again.fetch(0, 1, "")
    again.reserve(0, 0, "x", "n1", 10, "t")
    assert (
        not again.partition(0).complete
        and again.effects[-1].answer.result == "again"
        and not again.seal(0, 1)
    )


def test_ids_beyond_the_bound_are_refused_and_none_is_dropped_before_its_time():
    holder = Replica("a", max_records=5)
    holder.fetch(0, 1, "")
    holder.begin_view(0, 1, ("a",))
    for number in range(8):
        holder.reserve(10, 0, f"i{number}", "n1", 20, number)
    kinds = [e.answer.result for e in holder.effects if isinstance(e, AnswerRequest)]
    assert kinds == ["granted"] * 5 + ["refused"] * 3 and holder.record_count == 5
    holder.reserve(21, 0, "late", "n1", 30, 9)
    assert holder.effects[-1].answer.result == "granted" and holder.record_count == 1


def test_what_a_change_of_view_left_at_one_holder_alone_comes_to_all():
    three = [Replica(name) for name in "abc"]
    for holder in three:
        holder.fetch(0, 1, "")
        holder.begin_view(0, 1, ("a", "b", "c"))
        holder.effects.clear()
    primary, with_it, without = three
    primary.reserve(0, 0, "x", "n1", 1 << 50, "t")
    with_it.on_message("a", next(e.message for e in primary.effects[1:] if e.receiver == "b"))
    for holder in three:
        holder.begin_view(
            0, 2, ("c", "b", "a")
        )  # its primary never heard of that claim, nobody was granted it
        holder.effects.clear()
    for _ in range(4):
        without.compare_digests(0)
        for _ in range(20):
            for source in three:
                while source.effects:
                    effect = source.effects.pop(0)
                    if isinstance(effect, SendMessage):
                        receiver = next(h for h in three if h.member_id == effect.receiver)
                        receiver.on_message(source.member_id, effect.message)
    assert [sorted(h.partition(0).records) for h in three] == [["x"]] * 3 and len(
        {tuple(h.partition(0).digests.items()) for h in three}
    ) == 1
    without.reserve(0, 0, "x", "n2", 1 << 50, "t2")
    assert without.effects[-1] == AnswerRequest("t2", ReservationAnswer("held", "n1", "out"))
    before = dict(primary.partition(0).digests)
    primary.state.replace(primary.partition(0), list(primary.partition(0).records.values()))
    assert primary.partition(0).digests == before != {}
    for holder in three:
        holder.expire(1 << 51, holder.partition(0))
        assert not holder.partition(0).records and not holder.partition(0).digests


def test_the_first_has_it_the_same_one_is_told_again_and_how_it_ended_is_kept():
    one, two = Replica("a"), Replica("b")
    for holder in (one, two):
        holder.fetch(0, 1, "")
        holder.begin_view(0, 1, ("a", "b"))
        holder.effects.clear()
    one.reserve(0, 0, "x", "n1", 10, "t1")
    one.reserve(0, 0, "x", "n2", 10, "t2")
    assert one.effects.pop() == AnswerRequest("t2", ReservationAnswer("held", "n1", "out"))
    write, send = one.effects
    assert isinstance(write, WriteChange) and isinstance(send, SendMessage)
    assert send.receiver == "b"
    one.effects.clear()
    one.reserve(0, 0, "x", "n1", 10, "t3")
    assert not one.effects  # not before the copy has it
    two.on_message("a", send.message)
    assert isinstance(two.effects[0], WriteChange) and isinstance(two.effects[1], SendMessage)
    assert two.effects[1].receiver == "a"
    one.on_message("b", two.effects[1].message)
    assert one.effects == [
        AnswerRequest("t1", ReservationAnswer("granted", "n1", "out")),
        AnswerRequest("t3", ReservationAnswer("granted", "n1", "out")),
    ]
    one.effects.clear()
    one.end_reservation(0, "x", "n2", "ran", "t4")
    assert one.effects.pop().answer.result == "refused"
    one.end_reservation(0, "x", "n1", "ran", "t5")
    two.on_message("a", one.effects[1].message)
    one.on_message("b", two.effects[-1].message)
    assert one.effects[-1] == AnswerRequest("t5", ReservationAnswer("held", "n1", "ran"))
    one.reserve(0, 0, "x", "n1", 10, "t6")
    assert one.effects[-1] == AnswerRequest("t6", ReservationAnswer("held", "n1", "ran"))
    assert (
        isinstance(one.partition(0), Partition) and two.partition(0).records["x"].outcome == "ran"
    )
