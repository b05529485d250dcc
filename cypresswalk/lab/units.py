"""Units of time in nanoseconds."""

MILLISECOND = 1_000_000
SECOND = 1_000 * MILLISECOND
