import pathlib
import re

from zinniadyke import errors

TABLE = pathlib.Path(__file__).parents[2] / "docs/reference/result-codes.md"
ROW = re.compile(r"\| (\d+) \| (\w+) \| (\d+) \| ([\w ]+) \| (.+) \|")


def test_documented_codes_equal_the_code():
    rows = ROW.findall(TABLE.read_text("utf-8"))
    assert rows == [
        (str(c.number), c.name, str(c.status), c.ran.value, c.summary)
        for c in errors.ResultCode
    ]


def test_numbers_are_unique_and_unknown_numbers_are_internal():
    numbers = [code.number for code in errors.ResultCode]
    assert len(set(numbers)) == len(numbers)
    assert errors.ResultCode.from_number(1) is errors.ResultCode.INTERNAL
    assert errors.ResultCode.from_number(4005).name == "VERSION_CHANGED"
