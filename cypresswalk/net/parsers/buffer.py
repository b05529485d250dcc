"""The receive buffer of one connection."""


class Buffer:
    """Bytes that arrived and are not consumed yet.

    It grows as needed. What is left is moved to the front, in place, once the consumed part is at
    least as large, so that its space is used again.

    Attributes:
        data: Consumed and pending bytes.
        start: Index in `data` of the first pending byte.
    """

    __slots__ = ("data", "start")

    def __init__(self) -> None:
        """Creates an empty buffer."""
        self.data = bytearray()
        self.start = 0

    def __len__(self) -> int:
        """Returns the number of pending bytes."""
        return len(self.data) - self.start

    def add(self, data: bytes) -> None:
        """Appends bytes that arrived."""
        self.data += data

    def find(self, pattern: bytes, skip: int = 0) -> int:
        """Returns where the pattern first begins, counted from the first pending byte, or -1.

        Args:
            pattern: What to look for.
            skip: How many pending bytes are known not to begin it.
        """
        index = self.data.find(pattern, self.start + skip)
        return index - self.start if index >= 0 else -1

    def rfind(self, pattern: bytes) -> int:
        """Returns where the pattern last begins, counted from the first pending byte, or -1."""
        index = self.data.rfind(pattern, self.start)
        return index - self.start if index >= 0 else -1

    def take(self, count: int) -> bytes:
        """Consumes and returns the first `count` pending bytes."""
        end = self.start + count
        taken = bytes(memoryview(self.data)[self.start : end])
        self.start = end
        if 2 * self.start >= len(self.data):
            del self.data[: self.start]
            self.start = 0
        return taken
