from __future__ import annotations

import asyncio
import hashlib
import io
import json
import threading
from pathlib import Path

import pytest

from balsamway.commands.main import main, subcommands
from balsamway.standins.platform import PlatformSettings, PlatformStandin
from balsamway.store import Host, HostRole

EXAMPLES = Path(__file__).parent.parent / "examples"
TAPADERAS = str(EXAMPLES / "tapaderas.json5")
UNREACHABLE = "http://127.0.0.1:9"


@pytest.fixture
def platform():
    """A platform in a thread, since each command runs its own event loop."""
    host = Host(
        "a", HostRole.ENTRY, "z", "127.0.0.1:9", operators_address="127.0.0.1:9"
    )
    standin = PlatformStandin(PlatformSettings(hosts=(host,)))
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    asyncio.run_coroutine_threadsafe(standin.start(), loop).result(10)
    yield f"http://{standin.address}"
    asyncio.run_coroutine_threadsafe(standin.stop(), loop).result(10)
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()


def test_each_subcommand_has_help(capsys):
    for subcommand in ("accept", "check", "diff", "dump", "generate", "status"):
        assert subcommand in subcommands()
        assert main([subcommand, "--help"]) == 0
        assert capsys.readouterr().out.startswith(f"usage: balsamway {subcommand}")


@pytest.mark.parametrize(
    "arguments",
    [
        [],
        ["none"],
        ["check"],
        ["check", "--bogus", TAPADERAS],
        ["generate"],
        ["diff", TAPADERAS],
        ["accept", TAPADERAS, "--platform", UNREACHABLE],
        ["accept", TAPADERAS, "--base", "x"],
        ["accept", TAPADERAS, "--base", "0"],
        ["status"],
    ],
)
def test_wrong_usage_exits_with_2(arguments):
    assert main(arguments) == 2


@pytest.mark.parametrize(
    "arguments",
    [
        ["diff", TAPADERAS, "--platform", UNREACHABLE],
        ["accept", TAPADERAS, "--base", "0", "--platform", UNREACHABLE],
        ["status", "--platform", UNREACHABLE],
        ["dump", "127.0.0.1:9"],
    ],
)
def test_an_unreachable_platform_or_daemon_exits_with_2(arguments):
    assert main(arguments) == 2


def test_problems_in_a_questionnaire_exit_with_1(tmp_path, capsys):
    bad = tmp_path / "bad.json5"
    bad.write_text("{workspace: 1}")
    assert main(["check", TAPADERAS, str(bad)]) == 1
    assert "bad.json5: workspace: found 1" in capsys.readouterr().out
    assert main(["generate", str(bad)]) == 1
    assert main(["diff", str(bad), TAPADERAS]) == 1


def test_a_token_is_hashed_from_standard_input(monkeypatch, capsys):
    monkeypatch.setattr("sys.stdin", io.StringIO("secret\n"))
    assert main(["generate", "--hash_token"]) == 0
    expected = hashlib.sha256(b"secret").hexdigest()
    assert capsys.readouterr().out == expected + "\n"


def test_a_change_is_reviewed_and_accepted(platform, tmp_path, capsys):
    def run_with_platform(*arguments):
        status = main([*arguments, "--platform", platform])
        return status, capsys.readouterr().out

    assert run_with_platform("accept", TAPADERAS, "--base", "0") == (
        0,
        "accepted: tapaderas version 1\n",
    )
    changed = tmp_path / "changed.json5"
    changed.write_text(Path(TAPADERAS).read_text().replace("slots: 3", "slots: 4"))
    reviewed = str(tmp_path / "reviewed.json5")
    assert main(["generate", str(changed), "--output", reviewed]) == 0
    status, out = run_with_platform("diff", str(changed))
    assert status == 0
    assert "~ services[inventory].slots: 3 -> 4" in out
    assert "accept with --base 1" in out
    arguments = ["accept", str(changed), "--base", "1", "--reviewed", reviewed]
    assert run_with_platform(*arguments)[0] == 0
    status, out = run_with_platform(*arguments)
    assert status == 1
    assert "conflict" in out
    assert (
        run_with_platform("accept", TAPADERAS, "--base", "2", "--reviewed", reviewed)[0]
        == 1
    )
    assert json.loads(run_with_platform("diff", str(changed), "--json")[1]) == {
        "base": 2,
        "changes": [],
    }


def test_status_lists_unreachable_hosts(platform, capsys):
    assert main(["accept", TAPADERAS, "--base", "0", "--platform", platform]) == 0
    capsys.readouterr()
    assert main(["status", "--platform", platform, "--json"]) == 2
    document = json.loads(capsys.readouterr().out)
    assert document["accepted"] == {"tapaderas": 1}
    assert document["hosts"][0]["health"] is None
