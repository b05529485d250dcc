"""Settings that the fleet agrees on, and checks whether a balancer can act on them."""

import copy
import math
from collections.abc import Iterator
from typing import Any

from cypresswalk.hosting import SettingsError, decode_settings
from cypresswalk.rollout import bounds

# Settings that decide on placement and number of flows; all others describe a single balancer.
SHARED_KEYS = (
    "serviceTypes",
    "tenants",
    "limits",
    "rules",
    "deductions",
    "extra",
    "overagePayoff",
    "instances",
    "bounds",
)
# Settings that are read only at the program's start. A change is rejected, since the balancer could
# not apply all of it.
START_ONLY_KEYS = (
    ("limits", "dialTimeout"),
    ("extra", "groups"),
    ("extra", "tellsLoad"),
    ("extra", "tellsDelay"),
)


def shared_part(params: dict[str, Any]) -> dict[str, Any]:
    """Return the settings among `params` that the fleet agrees on."""
    return {name: params[name] for name in SHARED_KEYS if name in params}


def merged(own: dict[str, Any], agreed: dict[str, Any]) -> dict[str, Any]:
    """Return a balancer's own settings with the agreed ones in place of the shared part."""
    params = {name: value for name, value in own.items() if name not in SHARED_KEYS}
    return params | copy.deepcopy(agreed)


def objection(own: dict[str, Any], settings: object) -> str:
    """Return why a balancer with settings `own` can't act on `settings`, or an empty string."""
    if not isinstance(settings, dict):
        return "the settings are not a table"
    if unknown := sorted(set(settings) - set(SHARED_KEYS)):
        return (
            f"{', '.join(unknown)}: not among the settings that the fleet agrees on"
            f" ({', '.join(SHARED_KEYS)})"
        )
    params = merged(own, settings)
    try:
        decoded = decode_settings(params)
        error = names_error(params) or numbers_error(settings)
    except (
        SettingsError,
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
    ) as invalid:
        return str(invalid) or type(invalid).__name__
    if error:
        return error
    if "bounds" in settings and (error := bounds.validation_error(settings["bounds"])):
        return error
    if (
        decoded.instances < 1
        or decoded.max_attempts < 1
        or min(k.setup_latency_objective for k in decoded.service_types) <= 0
    ):
        return "instances, maxConnects, setupTarget: must be above 0"
    return start_only_error(own, params)


def numbers_error(settings: dict[str, Any]) -> str:
    """Return an error for the first number that is not finite, or below 0 in the rules, or ""."""
    for name, number in named_numbers("", settings):
        if not math.isfinite(number):
            return f"{name}: {number} is not a finite number"
        if number < 0 and name.startswith("rules."):
            return f"{name}: {number} is below 0"
    return ""


def named_numbers(name: str, value: object) -> Iterator[tuple[str, float]]:
    """Yield all numbers in a value of the settings, each with its keys joined by dots."""
    if isinstance(value, dict):
        for key, part in value.items():
            yield from named_numbers(f"{name}.{key}" if name else str(key), part)
    elif isinstance(value, list):
        for number, part in enumerate(value):
            yield from named_numbers(f"{name}.{number}", part)
    elif isinstance(value, int | float):
        yield name, value


def names_error(params: dict[str, Any]) -> str:
    """Return the error in names or in `giveUp` of service types and tenants, or an empty string.

    Raises:
        KeyError, TypeError, ValueError, AttributeError: the settings have the wrong structure.
    """
    names = [kind["name"] for kind in params["serviceTypes"]]
    tenants = [tenant["name"] for tenant in params.get("tenants") or []]
    if not names or len(set(names)) != len(names) or len(set(tenants)) != len(tenants):
        return "serviceTypes, tenants: none, or a duplicate name"
    if not all(isinstance(name, str) for name in (*names, *tenants)):
        return "serviceTypes, tenants: a name is not a string"
    if any(float(kind["giveUp"]) <= 0 for kind in params["serviceTypes"]):
        return "serviceTypes: giveUp must be above 0"
    return ""


def start_only_error(own: dict[str, Any], params: dict[str, Any]) -> str:
    """Return an error if `params` change a start-only setting, or an empty string."""
    for part, name in START_ONLY_KEYS:
        current = (own.get(part) or {}).get(name)
        if (params.get(part) or {}).get(name) != current:
            return f"{part}.{name}: takes effect only at a start, so it stays {current!r} here"
    return ""
