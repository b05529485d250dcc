"""The deciding thread's processor time by kind of work."""

import time

from cypresswalk.model import SECOND
from cypresswalk.net.work_times import WorkTimes


def use_processor(span):
    end = time.thread_time_ns() + span
    while time.thread_time_ns() < end:
        pass


def test_nested_work_counts_for_its_own_kind_only():
    times = WorkTimes()
    outer = times.switch("decisions")
    use_processor(SECOND // 100)
    inner = times.switch("check_health")
    use_processor(SECOND // 20)
    times.switch(inner)
    times.switch(outer)
    assert SECOND // 100 <= times.spent["decisions"] < SECOND // 20 <= times.spent["check_health"]


def test_figures_name_the_longest_wait_of_an_event():
    times = WorkTimes()
    for age in (3, 7_000_000, 5):
        times.on_event(age)
    assert "oldest_event_us=7000 " in times.fields()
