"""The stored log of a replica: what is read back, torn batches, damage and removal of expired files."""

from random import Random

import pytest

from cypresswalk.copies import store
from cypresswalk.copies.effects import WriteChange
from cypresswalk.copies.errors import DataLostError
from cypresswalk.copies.messages import (
    RecordStored,
    ReservationRecord,
    ViewBegun,
    ViewSealed,
)
from cypresswalk.copies.replica import Replica
from cypresswalk.copies.store import RecordLog
from cypresswalk.lab.cluster.virtual import MemoryDisk


def kept(ident: str, until: int = 100) -> RecordStored:
    return RecordStored(0, ReservationRecord(ident, "n1", until, "out"))


def test_what_a_holder_wrote_is_read_back_a_torn_batch_goes_and_damage_counts_as_loss():
    disk = MemoryDisk(Random(1))
    log = RecordLog(disk)
    log.begin("a#1", 1, [])
    log.write([ViewBegun(0, 1, ("a#1",), True), kept("x")], list)
    first = len(disk.files["copies.1"][0])
    log.write([kept("y"), ViewSealed(0, 1)], list)
    whole, inode = disk.files["copies.1"]
    written = RecordLog(disk).load("a#1", (1,), print)
    assert written == [ViewBegun(0, 1, ("a#1",), True), kept("x"), kept("y"), ViewSealed(0, 1)]
    holder = Replica("a#1")
    holder.restore(written)
    assert (
        holder.partition(0).complete
        and holder.partition(0).sealed
        and set(holder.partition(0).records) == {"x", "y"}
    )
    for cut in range(first, len(whole), 7):
        disk.files["copies.1"] = whole[:cut], inode
        assert kept("x") in RecordLog(disk).load("a#1", (1,), lambda text: None)
    for at in range(
        len(whole)
    ):  # one byte wrong anywhere: never believed, and never shortened to what passes for whole
        disk.files["copies.1"] = whole[:at] + bytes([whole[at] ^ 0x41]) + whole[at + 1 :], inode
        with pytest.raises(DataLostError):
            RecordLog(disk).load("a#1", (1,), print)
    disk.files["copies.1"] = whole, inode
    for member, boots in (("a#2", (1,)), ("a#1", (2,))):
        with pytest.raises(DataLostError, match="not of a#"):
            RecordLog(disk).load(member, boots, print)


def test_files_go_once_all_in_them_has_been_held_for_its_time_and_a_failed_flush_ends_the_log(
    monkeypatch,
):
    monkeypatch.setattr(store, "SEGMENT_BYTES", 200)
    disk = MemoryDisk(Random(1))
    log, holder = RecordLog(disk), Replica("a#1")
    holder.fetch(0, 1, "")
    holder.begin_view(0, 1, ("a#1",))
    log.begin("a#1", 1, [])
    for until in range(1, 41):
        holder.reserve(0, 0, f"i{until}", "n1", until, None)
        changes = [e.change for e in holder.effects if isinstance(e, WriteChange)]
        log.write(changes, holder.statuses)
        holder.effects.clear()
    assert len(log.numbers()) > 5
    log.drop_expired(30)
    again = Replica("a#1")
    again.restore(RecordLog(disk).load("a#1", (1,), print))
    assert {f"i{n}" for n in range(30, 41)} <= set(
        again.partition(0).records
    ) and "i1" not in again.partition(0).records
    assert again.partition(0).complete and again.partition(0).replicas == ("a#1",)
    disk.failing = True
    with pytest.raises(OSError):
        log.write([kept("z")], holder.statuses)
    disk.failing = False
    with pytest.raises(OSError, match="an earlier write failed"):
        log.write([kept("z")], holder.statuses)
