"""The types of flow of a load. Imports nothing, since each server process reads it as it starts."""

VIEW = "view"
BOOK = "book"
# In the words of the experiment file.
IDEMPOTENT = "repeatable"
NON_IDEMPOTENT = "once-only"
EFFECTS = {VIEW: IDEMPOTENT, BOOK: NON_IDEMPOTENT}
UNKNOWN_EFFECT = "?"
TIMEOUT_MS = 1500  # for which a client waits for its answer
SETUP_LATENCY_OBJECTIVE_MS = 300


def effect_of(options: str) -> str:
    """Return the effect of a flow by the options of its first line, such as `c=book,d=1500`."""
    values = dict(option.partition("=")[::2] for option in options.split(","))
    return EFFECTS.get(values.get("c", ""), UNKNOWN_EFFECT)
