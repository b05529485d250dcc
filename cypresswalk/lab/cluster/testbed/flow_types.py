"""The flow types of a load.

The module imports nothing, because every server process imports it when it starts.
"""

VIEW = "view"
BOOK = "book"
# Values of the experiment file.
IDEMPOTENT = "repeatable"
NON_IDEMPOTENT = "once-only"
EFFECTS = {VIEW: IDEMPOTENT, BOOK: NON_IDEMPOTENT}
UNKNOWN_EFFECT = "?"
TIMEOUT_MS = 1500  # time for which a client waits for its answer
SETUP_LATENCY_OBJECTIVE_MS = 300


def effect_of(options: str) -> str:
    """Return a flow's effect according to the options of its first line, as in `c=book,d=1500`."""
    values = dict(option.partition("=")[::2] for option in options.split(","))
    return EFFECTS.get(values.get("c", ""), UNKNOWN_EFFECT)
