"""Reports of days: Markdown to read, JSON to keep, plots to look at; and variants held side by side."""

import json
import statistics
from pathlib import Path

# What is compared: the name, how it is had from a summary, which way is better, and its decimals.
MEASURES = {
    "service": (lambda s: s["service"], 1, 4),
    "worst ten seconds": (lambda s: s["worst_10_s"], 1, 4),
    "worst type": (lambda s: min(s["by_type"].values()), 1, 4),
    "set-up p50, ms": (lambda s: s["setup_ms"]["p50"], -1, 2),
    "set-up p99, ms": (lambda s: s["setup_ms"]["p99"], -1, 2),
    "message p99, ms": (lambda s: s["message_ms"]["p99"], -1, 2),
    "connects a flow": (lambda s: s["connects_a_flow"], -1, 3),
    "rejected": (lambda s: s["answers"].get("busy", 0), -1, 0),
    "failed": (lambda s: s["answers"].get("failed", 0), -1, 0),
    "moves": (lambda s: s["moves"], -1, 0),
    "probes": (lambda s: s["probes"], -1, 0),
    "memory of a balancer, MB": (lambda s: s["memory_mb"], -1, 1),
    "descriptors": (lambda s: s["descriptors"], -1, 0),
    "rules broken": (lambda s: sum(s["broken"].values()), -1, 0),
}


def spread(values: list[float], decimals: int) -> str:
    """Median and range."""
    median = statistics.median(values)
    if len(values) == 1 or min(values) == max(values):
        return f"{median:.{decimals}f}"
    return f"{median:.{decimals}f} ({min(values):.{decimals}f} to {max(values):.{decimals}f})"


def verdict(summary: dict) -> str:
    if summary["void"]:
        return f"void: {summary['void']}"
    if summary["broken"]:
        return "broken: " + ", ".join(
            f"{rule} {count}" for rule, count in sorted(summary["broken"].items())
        )
    return "the rules held"


def day(summary: dict) -> str:
    """One day in Markdown."""
    rows = [
        f"# {summary['experiment']}, {summary['variant']}, seed {summary['seed']}",
        "",
        verdict(summary),
        "",
        "| figure | value |",
        "| --- | --- |",
    ]
    rows += [
        f"| {name} | {of(summary):.{decimals}f} |" for name, (of, _, decimals) in MEASURES.items()
    ]
    rows += [f"| service of {name} | {value:.4f} |" for name, value in summary["by_type"].items()]
    rows += [
        f"| clients, flows | {summary['clients']}, {summary['flows']} |",
        f"| clients that found no balancer | {summary['nobody']} |",
        f"| bad clients, without their due | {summary['bad']}, {summary['bad_unanswered']} |",
        f"| the lab's own lateness, ms: median, p99, most | {summary['lateness_ms']['median']:.2f}, "
        f"{summary['lateness_ms']['p99']:.2f}, {summary['lateness_ms']['most']:.1f} |",
        "",
        "| | " + " | ".join(summary["setup_ms"]) + " |",
        "| --- |" + " --- |" * len(summary["setup_ms"]),
        "| set-up, ms | " + " | ".join(f"{v:.2f}" for v in summary["setup_ms"].values()) + " |",
        "| message, ms | " + " | ".join(f"{v:.2f}" for v in summary["message_ms"].values()) + " |",
        "",
    ]
    rows += [
        f"| {name} | {c['memory_mb']:.1f} MB | {c['descriptors']} descriptors | {c['cpu_s']:.2f} s of CPU |"
        for name, c in summary["balancers"].items()
    ]
    if summary["breaches"]:
        rows += ["", "## What broke the rules", ""] + [
            f"    {line}" for b in summary["breaches"] for line in b.splitlines()
        ]
    return "\n".join(rows) + "\n"


def difference(base: list[dict], other: list[dict], of, better: int) -> str:
    """Against the first variant, by seed: the same people came to both. It counts only if it points the same way on all
    seeds that both played, five at the least; else it is within the spread."""
    by_seed = {s["seed"]: of(s) for s in base}
    apart = [of(s) - by_seed[s["seed"]] for s in other if s["seed"] in by_seed]
    if not apart or all(a == 0 for a in apart):
        return "the same"
    if len(apart) < 5:
        return "too few repeats"
    if min(apart) > 0 or max(apart) < 0:
        return "better" if min(apart) * better > 0 or max(apart) * better > 0 else "worse"
    return "within the spread"


def compare(summaries: list[dict]) -> str:
    """Variants of one experiment side by side, in Markdown: median and range over the repeats. Void days are left out."""
    variants: dict[str, list[dict]] = {}
    for summary in summaries:
        variants.setdefault(summary["variant"], [])
        if not summary["void"]:
            variants[summary["variant"]].append(summary)
    names = [name for name, days in variants.items() if days]
    void = len(summaries) - sum(map(len, variants.values()))
    if not names:
        return f"All {void} days are void: {summaries[0]['void']}\n"
    first = variants[names[0]]
    head = ["figure", names[0]] + [
        part for name in names[1:] for part in (name, "against " + names[0])
    ]
    rows = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    for measure, (of, better, decimals) in MEASURES.items():
        cells = [measure, spread([of(s) for s in first], decimals)]
        for name in names[1:]:
            cells += [
                spread([of(s) for s in variants[name]], decimals),
                difference(first, variants[name], of, better),
            ]
        rows.append("| " + " | ".join(cells) + " |")
    seeds = ", ".join(str(s["seed"]) for s in first)
    text = "\n".join(rows) + f"\n\nSeeds {seeds}; median and range."
    return text + (f" {void} days were void and are left out.\n" if void else "\n")


def save(summaries: list[dict], folder: Path) -> None:
    """report.md, report.json and the plots."""
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
    parts += [day(summary).replace("# ", "## ", 1) for summary in summaries]
    (folder / "report.md").write_text("\n".join(parts))
    plots(summaries, folder)


def plots(summaries: list[dict], folder: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from hdrh.histogram import HdrHistogram
    from matplotlib import pyplot

    variants = list(dict.fromkeys(s["variant"] for s in summaries))
    colours = {name: f"C{i}" for i, name in enumerate(variants)}

    def finish(name: str, axes, y: str, x: str = "seconds into the day") -> None:
        axes.set_xlabel(x)
        axes.set_ylabel(y)
        axes.grid(alpha=0.3)
        axes.legend()
        axes.figure.savefig(folder / name, dpi=110, bbox_inches="tight")
        pyplot.close(axes.figure)

    axes = pyplot.figure(figsize=(8, 4)).add_subplot()
    for name in variants:
        courses = [s["course"] for s in summaries if s["variant"] == name]
        for course in courses:
            axes.plot(course, color=colours[name], alpha=0.2, linewidth=0.8)
        axes.plot(
            [statistics.median(values) for values in zip(*courses)], color=colours[name], label=name
        )
    axes.set_ylim(0, 1.02)
    finish("service.png", axes, "service, second by second")
    axes = pyplot.figure(figsize=(8, 4)).add_subplot()
    for name in variants:
        total = HdrHistogram(1, 60_000_000, 3)
        for s in summaries:
            if s["variant"] == name:
                total.add(HdrHistogram.decode(s["setup_hdr"]))
        if total.get_total_count():
            shares = [0, 25, 50, 75, 90, 95, 99, 99.5, 99.9]
            axes.plot(
                [1 / (1 - p / 100) for p in shares],
                [total.get_value_at_percentile(p) / 1000 for p in shares],
                marker=".",
                color=colours[name],
                label=name,
            )
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xticks([1, 2, 4, 10, 100, 1000], ["0%", "50%", "75%", "90%", "99%", "99.9%"])
    finish("setups.png", axes, "set-up, ms", "share of flows set up sooner")
    axes = pyplot.figure(figsize=(8, 4)).add_subplot()
    for name in variants:
        labelled = False
        for s in [s for s in summaries if s["variant"] == name][:1]:
            for balancer in s["balancers"]:
                points = [(at, memory) for at, who, memory, _ in s["samples"] if who == balancer]
                axes.plot(
                    *zip(*points),
                    color=colours[name],
                    alpha=0.7,
                    label=None if labelled else f"{name}, first seed",
                )
                labelled = True
    finish("memory.png", axes, "memory of each balancer, MB")
