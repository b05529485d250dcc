"""Fault plans and records read from files."""

import pytest

from cypresswalk.faults.kinds import Fault, Kind
from cypresswalk.faults.plan import read, read_record
from cypresswalk.refusal import CommandError


def fault(*lines: str) -> str:
    """Return the text of a plan with one fault."""
    return "\n".join(["[[fault]]", *lines])


def random_cut(*lines: str) -> str:
    """Return the text of a plan with random cuts."""
    return "\n".join(["[[random]]", 'kinds = ["cut"]', *lines])


@pytest.mark.parametrize(
    "text, message",
    [
        ("fault = 3", "fault: input should be a valid list"),
        (fault('kind = "explode"'), "fault[0].kind: input should be 'cut', 'truncate'"),
        (
            fault('kind = "cut"', "at = -1"),
            "fault[0].at: input should be greater than or equal to 0, not -1",
        ),
        (
            fault('kind = "cut"', "connection = 0"),
            "fault[0].connection: connections count from 1",
        ),
        (fault('kind = "cut"', "ms = 3"), "fault[0]: cut takes no ms"),
        (fault('kind = "garble"'), "fault[0]: garble needs size above 0"),
        (fault('kind = "cut"', "wher = 3"), "fault[0].wher: no such field"),
        (
            random_cut("chance = 1.5"),
            "random[0].chance: input should be less than or equal to 1, not 1.5",
        ),
        (random_cut("chance = 1", "ms = [5, 2]"), "random[0].ms: a range is [least, most]"),
        (fault('kind = "swap"'), "fault[0]: swap is not one of"),
        ('[[datagram]]\nkind = "cut"', "datagram[0]: cut is not one of"),
        ("fault = [", "not TOML: "),
        ("\xff", "not TOML: "),
    ],
)
def test_an_invalid_plan_is_rejected_with_one_line(tmp_path, text, message):
    file = tmp_path / "plan.toml"
    file.write_bytes(text.encode("latin-1"))
    with pytest.raises(CommandError) as refusal:
        read(file)
    assert str(refusal.value).startswith(f"{file}: {message}")
    assert "\n" not in str(refusal.value)


def test_an_invalid_record_is_rejected_with_one_line(tmp_path):
    file = tmp_path / "record"
    valid = Fault(1, "up", 0, Kind.CUT).json_line()
    invalid = '{"connection":0,"direction":"up","at":1,"kind":"cut"}'
    file.write_text(f"{valid}\n{invalid}\n")
    message = "line 2: connection: input should be greater than or equal to 1, not 0"
    with pytest.raises(CommandError, match=message):
        read_record(file)
