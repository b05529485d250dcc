"""Fault plans and records read from files."""

import pytest

from cypresswalk.faults.kinds import Fault, Kind
from cypresswalk.faults.plan import read, read_record
from cypresswalk.refusal import CommandError


@pytest.mark.parametrize(
    "text, line",
    [
        ("fault = 3", "fault: input should be a valid list"),
        ('[[fault]]\nkind = "explode"', "fault[0].kind: input should be 'cut', 'truncate'"),
        (
            '[[fault]]\nkind = "cut"\nat = -1',
            "fault[0].at: input should be greater than or equal to 0, not -1",
        ),
        (
            '[[fault]]\nkind = "cut"\nconnection = 0',
            "fault[0].connection: connections count from 1",
        ),
        ('[[fault]]\nkind = "cut"\nms = 3', "fault[0]: cut takes no ms"),
        ('[[fault]]\nkind = "garble"', "fault[0]: garble needs size above 0"),
        ('[[fault]]\nkind = "cut"\nwher = 3', "fault[0].wher: no such field"),
        (
            '[[random]]\nkinds = ["cut"]\nchance = 1.5',
            "random[0].chance: input should be less than or equal to 1, not 1.5",
        ),
        (
            '[[random]]\nkinds = ["cut"]\nchance = 1\nms = [5, 2]',
            "random[0].ms: a range is [least, most]",
        ),
        ('[[fault]]\nkind = "swap"', "fault[0]: swap is not one of"),
        ('[[datagram]]\nkind = "cut"', "datagram[0]: cut is not one of"),
        ("fault = [", "not TOML: "),
        ("\xff", "not TOML: "),
    ],
)
def test_an_invalid_plan_is_refused_by_one_line(tmp_path, text, line):
    file = tmp_path / "plan.toml"
    file.write_bytes(text.encode("latin-1"))
    with pytest.raises(CommandError) as refusal:
        read(file)
    said = str(refusal.value)
    assert said.startswith(f"{file}: {line}") and "\n" not in said


def test_an_invalid_record_is_refused_by_one_line(tmp_path):
    file = tmp_path / "record"
    file.write_text(
        Fault(1, "up", 0, Kind.CUT).line()
        + '\n{"connection":0,"direction":"up","at":1,"kind":"cut"}\n'
    )
    with pytest.raises(
        CommandError, match="line 2: connection: input should be greater than or equal to 1, not 0"
    ):
        read_record(file)
