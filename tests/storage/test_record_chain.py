"""Chains of sealed records: what is read back, what counts as a torn tail, and what as damage."""

import pytest

from cypresswalk.storage.folder import broken_on_failure, require_unbroken
from cypresswalk.storage.record_chain import (
    HEADER,
    ChainDamagedError,
    ChainReader,
    first_key,
    seal_record,
)

BODIES = (b"one", b"two" * 400, b"three")


def chain(number: int) -> bytes:
    data, key = b"head", first_key(number)
    for kind, body in enumerate(BODIES, 1):
        record, key = seal_record(key, kind, body)
        data += record
    return data


def read(data: bytes, number: int = 7) -> tuple[list[tuple[int, bytes]], int]:
    """The records, of which the first must be whole, and the end of the last."""
    reader = ChainReader("log.7", data, len(b"head"), number)
    found: list[tuple[int, bytes]] = []
    while record := reader.next_record(may_be_torn=bool(found)):
        assert data[reader.record_offset : reader.end].endswith(record.body)
        found.append((record.kind, record.body))
    return found, reader.end


def test_records_are_read_back_in_order():
    data = chain(7)
    assert read(data) == (list(enumerate(BODIES, 1)), len(data))


def test_a_tail_that_is_cut_short_or_has_unwritten_sectors_ends_the_chain():
    data = chain(7)
    second = len(b"head") + HEADER.size + len(BODIES[0])
    third = second + HEADER.size + len(BODIES[1])
    for end in range(third, len(data)):
        assert read(data[:end]) == (list(enumerate(BODIES[:2], 1)), third)
    sectors = data[:second] + bytes(len(data) - second)
    assert read(sectors) == ([(1, BODIES[0])], second)


def test_damage_names_the_file_and_the_byte_at_which_the_record_begins():
    data = chain(7)
    third = len(data) - HEADER.size - len(BODIES[2])
    for offset in range(third, len(data)):
        with pytest.raises(ChainDamagedError, match=rf"^log\.7: damaged at byte {third}$") as info:
            read(data[:offset] + bytes([data[offset] ^ 0x55]) + data[offset + 1 :])
        assert (info.value.file, info.value.offset) == ("log.7", third)


def test_a_chain_of_another_file_or_a_torn_first_record_is_damage():
    data = chain(7)
    with pytest.raises(ChainDamagedError, match="at byte 4$"):
        read(data, number=8)
    with pytest.raises(ChainDamagedError, match="at byte 4$"):
        read(data[:20])


def test_a_store_is_broken_after_a_failed_write_and_after_no_other():
    class Store:
        broken = False

    store = Store()
    with broken_on_failure(store):
        assert store.broken
    require_unbroken(store)
    with pytest.raises(KeyError), broken_on_failure(store):
        raise KeyError
    with pytest.raises(OSError, match="an earlier write failed"):
        require_unbroken(store)
