from __future__ import annotations

import pytest

from balsamway.platform import main
from balsamway.platform.settings import SETTINGS_VARIABLE, read_node_settings
from balsamway.settings import SettingsError

WHOLE = """
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

BROKEN = {
    "cut short": WHOLE[: len(WHOLE) // 2] + '"',
    "no table": WHOLE.replace("[platform.platform]", "[platform.other]"),
    "node is a number": WHOLE.replace('"edge-1"', "1"),
    "ports are text": WHOLE.replace("[7620,7635]", '["a","b"]'),
    "one port": WHOLE.replace("[7620,7635]", "[7620]"),
    "a port too large": WHOLE.replace("[7620,7635]", "[7620,99999]"),
    "address without a port": WHOLE.replace("10.200.1.7:8642", "10.200.1.7"),
    "grace is text": WHOLE.replace("graceS = 7", 'graceS = "long"'),
    "slack is negative": WHOLE.replace("retrySlack = 58", "retrySlack = -1"),
    "seeds are a number": WHOLE.replace('["10.1.0.15:8649"]', "7"),
}


def test_whole_settings_are_read(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(WHOLE)
    settings = read_node_settings(path)
    assert settings.host == "edge-1"
    assert settings.callers_address == "10.1.0.15:8641"
    assert settings.peers_address == "10.1.0.15:7620"
    assert settings.seeds == ("10.1.0.15:7620",)
    assert settings.bounds.grace_seconds == 7
    assert settings.bounds.retry_burst == 58


@pytest.mark.parametrize("text", BROKEN.values(), ids=BROKEN.keys())
def test_wrong_settings_are_an_error_that_names_the_place(tmp_path, text):
    path = tmp_path / "settings.toml"
    path.write_text(text)
    with pytest.raises(SettingsError, match=str(path)):
        read_node_settings(path)


@pytest.mark.parametrize("text", [None, "x", WHOLE[:90]])
def test_the_program_ends_with_an_error_of_usage(tmp_path, monkeypatch, capsys, text):
    path = tmp_path / "settings.toml"
    if text is not None:
        path.write_text(text)
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    assert main.run() == 2
    assert str(path) in capsys.readouterr().err
