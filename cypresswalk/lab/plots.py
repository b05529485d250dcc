"""Plots of summaries: service over time, set-up latencies, memory."""

import statistics
from pathlib import Path

import matplotlib
from hdrh.histogram import HdrHistogram
from matplotlib import pyplot
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from cypresswalk.lab.metrics import merged

SIZE_INCHES = (8, 4)
RESOLUTION_DPI = 110
SHOWN_PERCENTILES = (0, 25, 50, 75, 90, 95, 99, 99.5, 99.9)


def save_plots(summaries: list[dict], folder: Path) -> None:
    """Write service.png, setups.png and memory.png into a folder."""
    matplotlib.use("Agg")
    variants = list(dict.fromkeys(summary["variant"] for summary in summaries))
    by_variant = {
        name: [summary for summary in summaries if summary["variant"] == name] for name in variants
    }
    plot_service(by_variant, folder / "service.png")
    plot_setups(by_variant, folder / "setups.png")
    plot_memory(by_variant, folder / "memory.png")


def plot_service(by_variant: dict[str, list[dict]], path: Path) -> None:
    """Plot the service per second: each scenario as a faint line, and each variant's median."""
    axes = new_axes()
    for index, (name, summaries) in enumerate(by_variant.items()):
        courses = [summary["course"] for summary in summaries]
        for course in courses:
            axes.plot(course, color=f"C{index}", alpha=0.2, linewidth=0.8)
        medians = [statistics.median(values) for values in zip(*courses, strict=False)]
        axes.plot(medians, color=f"C{index}", label=name)
    axes.set_ylim(0, 1.02)
    save_axes(axes, path, "seconds since the scenario's start", "service per second")


def plot_setups(by_variant: dict[str, list[dict]], path: Path) -> None:
    """Plot the percentiles of set-up latencies, on a scale that expands the tail."""
    axes = new_axes()
    for index, (name, summaries) in enumerate(by_variant.items()):
        total = merged(HdrHistogram.decode(summary["setup_hdr"]) for summary in summaries)
        if total.get_total_count():
            axes.plot(
                [1 / (1 - p / 100) for p in SHOWN_PERCENTILES],
                [total.get_value_at_percentile(p) / 1000 for p in SHOWN_PERCENTILES],
                marker=".",
                color=f"C{index}",
                label=name,
            )
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xticks([1, 2, 4, 10, 100, 1000], ["0%", "50%", "75%", "90%", "99%", "99.9%"])
    save_axes(axes, path, "share of flows set up faster", "set-up, ms")


def plot_memory(by_variant: dict[str, list[dict]], path: Path) -> None:
    """Plot the memory of each balancer over time, in each variant's first scenario."""
    axes = new_axes()
    for index, (name, summaries) in enumerate(by_variant.items()):
        summary = summaries[0]
        label: str | None = f"{name}, first seed"
        for balancer in summary["balancers"]:
            samples = [sample for sample in summary["samples"] if sample[1] == balancer]
            seconds = [second for second, _, _, _ in samples]
            memory_mb = [memory for _, _, memory, _ in samples]
            axes.plot(seconds, memory_mb, color=f"C{index}", alpha=0.7, label=label)
            label = None
    save_axes(axes, path, "seconds since the scenario's start", "memory of each balancer, MB")


def new_axes() -> Axes:
    """Return the axes of a new figure."""
    return pyplot.figure(figsize=SIZE_INCHES).add_subplot()


def save_axes(axes: Axes, path: Path, x_label: str, y_label: str) -> None:
    """Label a plot, write it to a file and close it."""
    axes.set_xlabel(x_label)
    axes.set_ylabel(y_label)
    axes.grid(alpha=0.3)
    axes.legend()
    figure = axes.figure
    assert isinstance(figure, Figure)  # `new_axes` creates no subfigure
    figure.savefig(path, dpi=RESOLUTION_DPI, bbox_inches="tight")
    pyplot.close(figure)
