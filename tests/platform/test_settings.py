from __future__ import annotations

import pytest

from balsamway.platform import main
from balsamway.platform.settings import SETTINGS_VARIABLE, read_node_settings
from balsamway.settings import SettingsError

COMPLETE = """
grants = "call"
[self]
node = "edge-1"
ip = "10.1.0.15"
zone = "z1"
unknown = 3
[network]
internalPorts = [7620,7635]
seeds = ["10.1.0.15:8649"]
[network.listen]
front = "10.1.0.15:8641"
readyAddress = "10.1.0.15:8640"
control = "10.1.0.15:8649"
[platform]
discovery = "platform"
[platform.platform]
address = "10.200.1.7:8642"
[terms.bounds]
graceS = 7
retrySlack = 58
"""

INVALID = {
    "cut short": COMPLETE[: len(COMPLETE) // 2] + '"',
    "no table": COMPLETE.replace("[platform.platform]", "[platform.other]"),
    "node is a number": COMPLETE.replace('"edge-1"', "1"),
    "ports are text": COMPLETE.replace("[7620,7635]", '["a","b"]'),
    "one port": COMPLETE.replace("[7620,7635]", "[7620]"),
    "a port too large": COMPLETE.replace("[7620,7635]", "[7620,99999]"),
    "address without a port": COMPLETE.replace("10.200.1.7:8642", "10.200.1.7"),
    "grace is text": COMPLETE.replace("graceS = 7", 'graceS = "long"'),
    "slack is negative": COMPLETE.replace("retrySlack = 58", "retrySlack = -1"),
    "seeds are a number": COMPLETE.replace('["10.1.0.15:8649"]', "7"),
}


def test_complete_settings_are_read(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(COMPLETE)
    settings = read_node_settings(path)
    assert settings.host == "edge-1"
    assert settings.callers_address == "10.1.0.15:8641"
    assert settings.peers_address == "10.1.0.15:7620"
    assert settings.seeds == ("10.1.0.15:7620",)
    assert settings.bounds.grace_seconds == 7
    assert settings.bounds.repeat_burst == 58


@pytest.mark.parametrize("text", INVALID.values(), ids=INVALID.keys())
def test_invalid_settings_raise_an_error_that_names_the_file(tmp_path, text):
    path = tmp_path / "settings.toml"
    path.write_text(text)
    with pytest.raises(SettingsError, match=str(path)):
        read_node_settings(path)


@pytest.mark.parametrize("text", [None, "x", COMPLETE[:90]])
def test_program_exits_with_the_status_for_invalid_settings(
    tmp_path, monkeypatch, capsys, text
):
    path = tmp_path / "settings.toml"
    if text is not None:
        path.write_text(text)
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    assert main.run() == 2
    assert str(path) in capsys.readouterr().err
