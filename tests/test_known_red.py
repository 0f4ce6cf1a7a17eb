from __future__ import annotations

from tests.known_red import known_red


def test_entries_are_read_by_the_test_id(tmp_path):
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text("# head\n\ntests/a.py::b[c d] | what was seen | issue 4\n")
    assert known_red(path) == {"tests/a.py::b[c d]": "what was seen | issue 4"}


def test_no_list_is_an_empty_one(tmp_path):
    assert known_red(tmp_path / "none") == {}
