"""Reports of scenarios, as Markdown and JSON, and comparisons of variants."""

import json
import statistics
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

MIN_REPEATS = 5  # scenarios for a difference to count: a two-sided sign test at level 1/16
HIGHER_IS_BETTER = 1
LOWER_IS_BETTER = -1


@dataclass(frozen=True, slots=True)
class Measure:
    """A compared measure: name, value in a summary, better direction, number of decimals."""

    name: str
    value: Callable[[dict], float]
    better: int
    decimals: int


MEASURES = (
    Measure("service", lambda s: s["service"], HIGHER_IS_BETTER, 4),
    Measure("worst ten seconds", lambda s: s["worst_10_s"], HIGHER_IS_BETTER, 4),
    Measure("worst type", lambda s: min(s["by_type"].values()), HIGHER_IS_BETTER, 4),
    Measure("set-up p50, ms", lambda s: s["setup_ms"]["p50"], LOWER_IS_BETTER, 2),
    Measure("set-up p99, ms", lambda s: s["setup_ms"]["p99"], LOWER_IS_BETTER, 2),
    Measure("message p99, ms", lambda s: s["message_ms"]["p99"], LOWER_IS_BETTER, 2),
    Measure("connects a flow", lambda s: s["connects_a_flow"], LOWER_IS_BETTER, 3),
    Measure("rejected", lambda s: s["answers"].get("busy", 0), LOWER_IS_BETTER, 0),
    Measure("failed", lambda s: s["answers"].get("failed", 0), LOWER_IS_BETTER, 0),
    Measure("moves", lambda s: s["moves"], LOWER_IS_BETTER, 0),
    Measure("probes", lambda s: s["probes"], LOWER_IS_BETTER, 0),
    Measure("memory of a balancer, MB", lambda s: s["memory_mb"], LOWER_IS_BETTER, 1),
    Measure("descriptors", lambda s: s["descriptors"], LOWER_IS_BETTER, 0),
    Measure("rules broken", lambda s: sum(s["broken"].values()), LOWER_IS_BETTER, 0),
)


def median_and_range(values: list[float], decimals: int) -> str:
    """Return the median, and the range if the values differ."""
    median = statistics.median(values)
    if len(values) == 1 or min(values) == max(values):
        return f"{median:.{decimals}f}"
    return f"{median:.{decimals}f} ({min(values):.{decimals}f} to {max(values):.{decimals}f})"


def verdict(summary: dict) -> str:
    """Return a line that says whether the rules held."""
    if summary["void"]:
        return f"void: {summary['void']}"
    if summary["broken"]:
        counts = [f"{rule} {count}" for rule, count in sorted(summary["broken"].items())]
        return "broken: " + ", ".join(counts)
    return "the rules held"


def scenario_report(summary: dict) -> str:
    """Return the report of one scenario in Markdown."""
    rows = [
        f"# {summary['experiment']}, {summary['variant']}, seed {summary['seed']}",
        "",
        verdict(summary),
        "",
        *figure_rows(summary),
        "",
        *latency_rows(summary),
        "",
    ]
    for name, cost in summary["balancers"].items():
        memory = f"{cost['memory_mb']:.1f} MB"
        descriptors = f"{cost['descriptors']} descriptors"
        rows.append(f"| {name} | {memory} | {descriptors} | {cost['cpu_s']:.2f} s of CPU |")
    if summary["breaches"]:
        rows += ["", "## Violations of the rules", ""]
        rows += [f"    {line}" for text in summary["breaches"] for line in text.splitlines()]
    return "\n".join(rows) + "\n"


def figure_rows(summary: dict) -> list[str]:
    """Return the rows of the table of all figures."""
    rows = ["| figure | value |", "| --- | --- |"]
    for measure in MEASURES:
        rows.append(f"| {measure.name} | {measure.value(summary):.{measure.decimals}f} |")
    for name, value in summary["by_type"].items():
        rows.append(f"| service of {name} | {value:.4f} |")
    bad = f"{summary['bad']}, {summary['bad_unanswered']}"
    lateness = summary["lateness_ms"]
    late = f"{lateness['median']:.2f}, {lateness['p99']:.2f}, {lateness['most']:.1f}"
    return [
        *rows,
        f"| clients, flows | {summary['clients']}, {summary['flows']} |",
        f"| clients that found no balancer | {summary['nobody']} |",
        f"| misbehaving clients, of these without answer or end | {bad} |",
        f"| the lab's own lateness, ms: median, p99, most | {late} |",
    ]


def latency_rows(summary: dict) -> list[str]:
    """Return the rows of the table of latencies by percentile."""
    setups = summary["setup_ms"]
    messages = summary["message_ms"]
    return [
        "| | " + " | ".join(setups) + " |",
        "| --- |" + " --- |" * len(setups),
        "| set-up, ms | " + " | ".join(f"{value:.2f}" for value in setups.values()) + " |",
        "| message, ms | " + " | ".join(f"{value:.2f}" for value in messages.values()) + " |",
    ]


def difference(
    base: list[dict], other: list[dict], value: Callable[[dict], float], better: int
) -> str:
    """Compare a variant with the first one seed by seed, as both served the same clients.

    A difference counts only if it has the same sign for all seeds that both played, and these are
    at least `MIN_REPEATS`; otherwise it is within the spread.
    """
    by_seed = {summary["seed"]: value(summary) for summary in base}
    differences = [
        value(summary) - by_seed[summary["seed"]] for summary in other if summary["seed"] in by_seed
    ]
    if not any(differences):
        return "the same"
    if len(differences) < MIN_REPEATS:
        return "too few repeats"
    if min(differences) > 0 or max(differences) < 0:
        return "better" if differences[0] * better > 0 else "worse"
    return "within the spread"


def compare(summaries: list[dict]) -> str:
    """Return a table of median and range for each variant, without void scenarios."""
    variants: dict[str, list[dict]] = {}
    for summary in summaries:
        valid = variants.setdefault(summary["variant"], [])
        if not summary["void"]:
            valid.append(summary)
    variants = {name: valid for name, valid in variants.items() if valid}
    void = len(summaries) - sum(map(len, variants.values()))
    if not variants:
        return f"All {void} scenarios are void: {summaries[0]['void']}\n"
    first = next(iter(variants.values()))
    seeds = ", ".join(str(summary["seed"]) for summary in first)
    text = "\n".join(comparison_rows(variants)) + f"\n\nSeeds {seeds}; median and range."
    return text + (f" {void} void scenarios are left out.\n" if void else "\n")


def comparison_rows(variants: dict[str, list[dict]]) -> list[str]:
    """Return the rows of a table that compares each variant with the first."""
    (first_name, first), *others = variants.items()
    head = ["figure", first_name]
    for name, _ in others:
        head += [name, "against " + first_name]
    rows = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    for measure in MEASURES:
        cells = [
            measure.name,
            median_and_range([measure.value(s) for s in first], measure.decimals),
        ]
        for _, summaries in others:
            values = [measure.value(summary) for summary in summaries]
            cells.append(median_and_range(values, measure.decimals))
            cells.append(difference(first, summaries, measure.value, measure.better))
        rows.append("| " + " | ".join(cells) + " |")
    return rows


def save(summaries: list[dict], folder: Path) -> None:
    """Write report.md, report.json and the plots into a folder."""
    # Imported here because matplotlib loads slowly and only the plots need it.
    from cypresswalk.lab.plots import save_plots

    folder.mkdir(parents=True, exist_ok=True)
    (folder / "report.json").write_text(json.dumps(summaries, indent=1))
    parts = [
        f"# {summaries[0]['experiment']}",
        "",
        compare(summaries),
        "![service over time](service.png)",
        "",
        "![set-ups](setups.png)",
        "",
        "![memory](memory.png)",
        "",
    ]
    parts += [scenario_report(summary).replace("# ", "## ", 1) for summary in summaries]
    (folder / "report.md").write_text("\n".join(parts))
    save_plots(summaries, folder)
