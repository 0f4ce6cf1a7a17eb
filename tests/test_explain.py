from __future__ import annotations

import json

from balsamway.commands.main import main

ID = "9c41d07be2a35f68"


def entry(seconds, event, host="n1", **fields):
    time = f"2026-12-04 10:00:{seconds:06.3f}".replace(".", ",")
    return {"time": time, "event": event, "host": host, "zone": "z", **fields}


ENTRIES = [
    entry(10.0, "request-ended", request_id="other", ms=5.0),
    entry(8.0, "keys-moved", "n2", moves=["0-99>i-1", "100-200>i-2"]),
    entry(8.0, "keys-moved", "n2", moves=["300-400>i-1"]),
    entry(8.5, "target-unanswering", "n2", target="i-1", reason="refused"),
    entry(8.5, "target-unanswering", "n2", target="i-9", reason="refused"),
    entry(1.0, "target-gone", "n2", target="i-1"),
    entry(9.0, "store-lost", "n1", kind="servers"),
    entry(9.0, "store-lost", "n3", kind="servers"),
    entry(9.2, "leadership-taken", "n3", epoch=4),
    entry(
        9.9,
        "request-ended",
        request_id=ID,
        key=50,
        ms=400.0,
        reason="moving",
        detail="i-1",
        attempts=[],
    ),
]

RESTED_ID = "8c41d07be2a35f68"
RESTED_ENTRIES = [
    entry(6.0, "target-rests", "n1", target="i-3", asked_seconds=9.0),
    entry(6.0, "target-rests", "n2", target="i-3", asked_seconds=9.0),
    entry(7.0, "target-leaving", "n1", target="i-3", source="report"),
    entry(7.0, "target-rests", "n1", target="i-4", asked_seconds=9.0),
    entry(
        14.0,
        "request-ended",
        request_id=RESTED_ID,
        key=50,
        ms=1.0,
        reason="overloaded",
        detail="i-3 asked for rest for another 1.000 s",
        attempts=[],
    ),
]


def run_explain(tmp_path, capsys, request_id=ID):
    log = tmp_path / "log"
    lines = [f"  1.5 n1 {json.dumps(entry)}" for entry in ENTRIES + RESTED_ENTRIES]
    log.write_text("\n".join(["no json", "{broken", *lines]))
    status = main(["explain", request_id, str(log)])
    return status, capsys.readouterr().out.splitlines()


def test_a_request_is_printed_with_its_related_entries(tmp_path, capsys):
    status, lines = run_explain(tmp_path, capsys)
    assert status == 0
    assert [line.split(" ")[2:4] for line in lines] == [
        ["n2", "keys-moved"],
        ["n2", "target-unanswering"],
        ["n1", "store-lost"],
        ["n3", "leadership-taken"],
        ["n1", "request-ended"],
    ]
    assert '"0-99>i-1"' in lines[0]
    assert 'reason="moving"' in lines[-1]


def test_a_request_is_printed_with_the_rest_and_the_leave_of_its_target(
    tmp_path, capsys
):
    _, lines = run_explain(tmp_path, capsys, RESTED_ID)
    assert [line.split(" ")[2:4] for line in lines] == [
        ["n1", "target-rests"],
        ["n1", "target-leaving"],
        ["n1", "request-ended"],
    ]


def test_an_unknown_request_is_an_error(tmp_path, capsys):
    status, lines = run_explain(tmp_path, capsys, "unknown")
    assert (status, lines) == (2, [])


def test_a_missing_file_is_an_error(tmp_path, capsys):
    assert main(["explain", ID, str(tmp_path / "none")]) == 2
    assert "none" in capsys.readouterr().err


def test_refusal_in_quarantine_is_printed_with_the_ends_under_it(tmp_path, capsys):
    """Guards against an explanation that does not name the ended targets."""
    entries = [
        entry(1.0, "target-ended", "n2", target="i-1", under={"ab12": "/a/b"}),
        entry(2.0, "target-ended", "n3", target="i-2", under={"ab12": "/a/b"}),
        entry(2.5, "target-ended", "n3", target="i-3", under={"ffff": "/c"}),
        entry(9.0, "request-quarantined", request_id=ID, fingerprint="ab12"),
    ]
    log = tmp_path / "log"
    log.write_text("\n".join(json.dumps(entry) for entry in entries))
    assert main(["explain", ID, str(log)]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert [line.split(" ")[2:4] for line in lines] == [
        ["n2", "target-ended"],
        ["n3", "target-ended"],
        ["n1", "request-quarantined"],
    ]


def test_a_refusal_is_printed_with_the_evacuation_that_its_host_knows(tmp_path, capsys):
    """An evacuation lasts, so its event may be long before the request."""
    entries = [
        entry(1.0, "zone-evacuated", "n1", evacuated_zone="z1", source="change"),
        entry(1.0, "zone-evacuated", "n2", evacuated_zone="z1", source="change"),
        entry(2.0, "zone-evacuation-ended", "n1", evacuated_zone="z3"),
        entry(39.0, "zone-evacuation-ended", "n1", evacuated_zone="z2"),
        entry(
            40.0,
            "request-ended",
            request_id=ID,
            ms=1.0,
            reason="no-target",
            detail="all targets of s are in evacuated zones",
            attempts=[],
        ),
    ]
    log = tmp_path / "log"
    log.write_text("\n".join(json.dumps(entry) for entry in entries))
    assert main(["explain", ID, str(log)]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert [line.split(" ")[2:4] for line in lines] == [
        ["n1", "zone-evacuated"],
        ["n1", "zone-evacuation-ended"],
        ["n1", "request-ended"],
    ]
    assert 'evacuated_zone="z1"' in lines[0]
