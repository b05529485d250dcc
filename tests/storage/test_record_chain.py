"""Chains of sealed records: reading, torn tails and damage."""

import pytest

from cypresswalk.storage.folder import broken_on_failure, require_unbroken
from cypresswalk.storage.record_chain import (
    HEADER,
    ChainDamagedError,
    ChainReader,
    first_key,
    seal_record,
)

FILE_HEAD = b"head"
FILE_NUMBER = 7
BODIES = (b"one", b"two" * 400, b"three")
# Kind and body of each record.
RECORDS = list(enumerate(BODIES, start=1))
SECOND_RECORD = len(FILE_HEAD) + HEADER.size + len(BODIES[0])
THIRD_RECORD = SECOND_RECORD + HEADER.size + len(BODIES[1])


@pytest.fixture
def chain() -> bytes:
    """Return the bytes of a file with three sealed records."""
    data, key = FILE_HEAD, first_key(FILE_NUMBER)
    for kind, body in RECORDS:
        record, key = seal_record(key, kind, body)
        data += record
    return data


def read(data: bytes, number: int = FILE_NUMBER) -> tuple[list[tuple[int, bytes]], int]:
    """Return the records and the offset after the last; the first must not be torn."""
    reader = ChainReader("log.7", data, len(FILE_HEAD), number)
    found: list[tuple[int, bytes]] = []
    while record := reader.next_record(may_be_torn=bool(found)):
        assert data[reader.record_offset : reader.end].endswith(record.body)
        found.append((record.kind, record.body))
    return found, reader.end


def test_records_are_read_back_in_order(chain):
    assert read(chain) == (RECORDS, len(chain))


def test_a_tail_that_is_cut_short_ends_the_chain(chain):
    for end in range(THIRD_RECORD, len(chain)):
        assert read(chain[:end]) == (RECORDS[:2], THIRD_RECORD)


def test_a_tail_of_unwritten_sectors_ends_the_chain(chain):
    unwritten = bytes(len(chain) - SECOND_RECORD)
    assert read(chain[:SECOND_RECORD] + unwritten) == (RECORDS[:1], SECOND_RECORD)


def test_damage_names_the_file_and_the_byte_at_which_the_record_begins(chain):
    message = rf"^log\.7: damaged at byte {THIRD_RECORD}$"
    for offset in range(THIRD_RECORD, len(chain)):
        damaged = chain[:offset] + bytes([chain[offset] ^ 0x55]) + chain[offset + 1 :]
        with pytest.raises(ChainDamagedError, match=message) as info:
            read(damaged)
        assert (info.value.file, info.value.offset) == ("log.7", THIRD_RECORD)


def test_the_chain_of_another_file_is_damage(chain):
    with pytest.raises(ChainDamagedError, match="at byte 4$"):
        read(chain, number=8)


def test_a_torn_first_record_is_damage(chain):
    with pytest.raises(ChainDamagedError, match="at byte 4$"):
        read(chain[:20])


class BreakableStore:
    """A minimal store, which only has the flag for a failed write."""

    broken = False


def test_a_store_is_unbroken_after_a_write():
    store = BreakableStore()
    with broken_on_failure(store):
        assert store.broken
    require_unbroken(store)


def test_a_store_is_broken_after_a_failed_write():
    store = BreakableStore()
    with pytest.raises(KeyError), broken_on_failure(store):
        raise KeyError
    with pytest.raises(OSError, match="an earlier write failed"):
        require_unbroken(store)
