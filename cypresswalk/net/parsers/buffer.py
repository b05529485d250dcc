"""The receive buffer of one connection."""


class Buffer:
    """Bytes that were received and are not consumed yet.

    The buffer grows as needed. Once the consumed part is at least as large as the pending part, it
    is deleted in place, so that its space is reused.

    Attributes:
        data: Consumed and pending bytes.
        start: Index in `data` of the first pending byte.
    """

    __slots__ = ("data", "start")

    def __init__(self) -> None:
        """Create an empty buffer."""
        self.data = bytearray()
        self.start = 0

    def __len__(self) -> int:
        """Return the number of pending bytes."""
        return len(self.data) - self.start

    def add(self, data: bytes) -> None:
        """Append received bytes."""
        self.data += data

    def find(self, pattern: bytes, skip: int = 0) -> int:
        """Return the offset of the pattern's first occurrence in the pending bytes, or -1.

        Args:
            pattern: The bytes to look for.
            skip: Number of pending bytes at which the pattern is known not to begin.
        """
        index = self.data.find(pattern, self.start + skip)
        return index - self.start if index >= 0 else -1

    def rfind(self, pattern: bytes) -> int:
        """Return the offset of the pattern's last occurrence in the pending bytes, or -1."""
        index = self.data.rfind(pattern, self.start)
        return index - self.start if index >= 0 else -1

    def take(self, count: int) -> bytes:
        """Consume and return the first `count` pending bytes."""
        end = self.start + count
        taken = bytes(memoryview(self.data)[self.start : end])
        self.start = end
        if 2 * self.start >= len(self.data):
            del self.data[: self.start]
            self.start = 0
        return taken
