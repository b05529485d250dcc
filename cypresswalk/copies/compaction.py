"""Compaction of a replica's files: records that are still held are written again.

A file is removed once all keys in it have expired, oldest first, so a key that is held for long
keeps all later files. When the files have become large, everything that the replica holds is
written to new files, and then all older files are removed. A restart at any time in between reads
the same records, because the older files are removed only after all records are on disk again, and
a record that is stored twice has the value stored last.
"""

from collections.abc import Iterator
from itertools import islice

from cypresswalk.copies.effects import StoredChange
from cypresswalk.copies.messages import RecordStored
from cypresswalk.copies.replica import Replica
from cypresswalk.copies.store import RecordLog

MIN_COMPACTION_BYTES = 64 << 20  # size of all files up to which there is no compaction
MAX_GROWTH_FACTOR = 2  # of the files since the last compaction, above the minimum
RECORDS_PER_STEP = 20_000  # written and flushed together


class Compaction:
    """The compaction of one replica's log.

    All files together stay below MIN_COMPACTION_BYTES, plus MAX_GROWTH_FACTOR times what the last
    compaction wrote, plus what is written while the next one runs.
    """

    def __init__(self, log: RecordLog, replica: Replica):
        """Start without a compaction in progress; `replica` is what the log contains."""
        self._log = log
        self._replica = replica
        # Partitions and keys that were held when the compaction in progress began.
        self._remaining: Iterator[tuple[int, str]] | None = None
        self._first_file = 0  # number of its first file
        self._compacted_bytes = 0  # written by the last compaction

    def step(self) -> None:
        """Begin a compaction if the files are large, or continue the one in progress.

        All effects of the replica must have been written before.

        Raises:
            OSError: a file can't be written.
        """
        if self._remaining is None and not self._begin():
            return
        assert self._remaining is not None  # just begun, if there was none
        keys = list(islice(self._remaining, RECORDS_PER_STEP))
        if not keys:
            self._finish()
            return
        changes: list[StoredChange] = [
            RecordStored(number, record)
            for number, key in keys
            if (record := self._replica.partition(number).records.get(key)) is not None
        ]
        if changes:
            self._log.write(changes, self._replica.statuses)

    def _begin(self) -> bool:
        """Begin a compaction and return True, unless the files are small enough."""
        limit = MIN_COMPACTION_BYTES + MAX_GROWTH_FACTOR * self._compacted_bytes
        if self._log.total_bytes <= limit:
            return False
        self._log.begin_next_file(self._replica.statuses())
        self._first_file = self._log.file_number
        self._remaining = iter(
            [
                (number, key)
                for number, partition in self._replica.partitions.items()
                for key in partition.records
            ]
        )
        return True

    def _finish(self) -> None:
        self._log.remove_files_before(self._first_file)
        self._compacted_bytes = self._log.total_bytes
        self._remaining = None
