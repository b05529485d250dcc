"""The one buffer of a connection."""


class Buffer:
    """Bytes that came and are not yet used. Grows as needed; what is left is moved to the front, in place,
    once the used part outweighs it, so that the space is used again."""

    __slots__ = ("data", "start")

    def __init__(self):
        self.data, self.start = bytearray(), 0

    def __len__(self) -> int:
        return len(self.data) - self.start

    def add(self, more: bytes) -> None:
        self.data += more

    def find(self, what: bytes, skip: int = 0) -> int:
        """Where it begins, counted from the first unused byte, or -1."""
        at = self.data.find(what, self.start + skip)
        return at - self.start if at >= 0 else -1

    def rfind(self, what: bytes) -> int:
        at = self.data.rfind(what, self.start)
        return at - self.start if at >= 0 else -1

    def take(self, count: int) -> bytes:
        end = self.start + count
        taken = bytes(memoryview(self.data)[self.start : end])
        self.start = end
        if 2 * self.start >= len(self.data):
            del self.data[: self.start]
            self.start = 0
        return taken
