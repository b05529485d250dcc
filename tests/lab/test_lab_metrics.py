"""Tests of the lab's service metric and of the verdict on differences between variants."""

import pytest

from cypresswalk.lab import report
from cypresswalk.lab.metrics import EstablishedConnection, add_span, served_spans
from cypresswalk.lab.units import SECOND


def test_service_counts_only_lines_that_came_back_in_time():
    echoes = [(SECOND, 5.0), (2 * SECOND, 900.0), (3 * SECOND, 5.0)]
    connection = EstablishedConnection(0, 5 * SECOND, echoes)
    assert served_spans(connection, 10 * SECOND, 100, 500) == [
        (0, SECOND),
        (2 * SECOND, 3 * SECOND),
        (3 * SECOND, 4_100_000_000),
    ]


def test_service_of_a_connection_without_echoes_ends_when_the_first_line_is_due():
    connection = EstablishedConnection(0, 9 * SECOND)
    assert served_spans(connection, 9 * SECOND, 100, 500) == [(0, 1_100_000_000)]


def test_a_span_is_spread_over_the_seconds_that_it_covers():
    seconds = [0.0] * 3
    add_span(seconds, SECOND // 2, int(2.25 * SECOND), 2.0)
    assert seconds == [1.0, 2.0, 0.5]


def summaries(values: list[int]) -> list[dict[str, int]]:
    """Return one summary per seed, each with one value."""
    return [{"seed": seed, "value": value} for seed, value in enumerate(values)]


def value_of(summary: dict[str, int]) -> int:
    """Return the compared value."""
    return summary["value"]


@pytest.mark.parametrize(
    "base, changed, better_direction, verdict",
    [
        ([1, 2, 3, 4, 5], [2, 3, 4, 5, 6], 1, "better"),
        ([1, 2, 3, 4, 5], [2, 3, 4, 5, 6], -1, "worse"),
        ([1, 2, 3, 4, 5], [2, 3, 4, 5, 4], 1, "within the spread"),
        ([1, 2, 3], [2, 3, 4], 1, "too few repeats"),
        ([1, 2, 3, 4, 5], [1, 2, 3, 4, 5], 1, "the same"),
    ],
)
def test_a_difference_counts_only_if_all_of_five_seeds_agree(
    base, changed, better_direction, verdict
):
    found = report.difference(summaries(base), summaries(changed), value_of, better_direction)
    assert found == verdict
