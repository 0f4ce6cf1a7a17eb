from __future__ import annotations

import json
from dataclasses import replace

import pytest

from balsamway.outcome import Malformed
from balsamway.platform.configuration_decoder import decode_routing
from balsamway.platform.target_decoder import decode_target
from balsamway.routing import Backend, RouteType

ENTRY = {
    "service": "s",
    "address": "10.128.0.9:8080",
    "zone": "z1",
    "version": "v1",
    "capacity": 3,
    "state": "ready",
    "warmupLeftMs": 1500,
    "sequence": 4,
    "born": 1700000000123,
}
CONFIGURATION = {
    "version": 7,
    "services": [
        {"name": "s", "maxConnections": 110, "sharded": True, "warmS": 5.0},
        {"name": "t", "maxConnections": 51, "healthPath": "/health"},
    ],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 9, "idleTimeoutMs": 15000},
    "hosts": [
        {
            "host": "H.example",
            "paths": [
                {
                    "name": "r1",
                    "pathPrefix": "/a/",
                    "routeType": "safe",
                    "timeoutMs": 1200,
                    "targetLatencyMs": 300,
                    "priority": 2,
                    "backends": [
                        {"service": "s", "weight": 90},
                        {"service": "t", "weight": 10},
                    ],
                    "maxAttempts": 2,
                },
                {
                    "name": "r2",
                    "pathPrefix": "/b/",
                    "routeType": "unsafe",
                    "timeoutMs": 800,
                    "service": "t",
                },
            ],
        }
    ],
}


def test_entry_is_decoded():
    entry = decode_target("i-1", json.dumps(ENTRY).encode())
    assert entry.key == ("i-1", 1700000000123)
    assert (entry.service, entry.address, entry.capacity) == ("s", "10.128.0.9:8080", 3)
    assert not entry.is_draining
    assert entry.warmup_seconds == 1.5


def test_draining_entry_is_marked_as_draining():
    assert decode_target(
        "i", json.dumps(ENTRY | {"state": "draining"}).encode()
    ).is_draining


@pytest.mark.parametrize(
    "change",
    [
        {"service": None},
        {"service": 4},
        {"address": "10.128.0.9"},
        {"address": "host:80"},
        {"address": "10.128.0.9:0"},
        {"address": "10.128.0.9:port"},
        {"capacity": "3"},
        {"capacity": 0},
        {"state": "resting"},
        {"sequence": "one"},
        {"born": 1.5},
        {"warmupLeftMs": -1},
        {"zone": []},
    ],
    ids=str,
)
def test_entry_with_an_invalid_field_is_refused(change):
    assert isinstance(
        decode_target("i", json.dumps(ENTRY | change).encode()), Malformed
    )


@pytest.mark.parametrize("field", ["service", "address", "capacity", "state"])
def test_entry_without_a_required_field_is_refused(field):
    incomplete = {name: value for name, value in ENTRY.items() if name != field}
    assert isinstance(decode_target("i", json.dumps(incomplete).encode()), Malformed)


@pytest.mark.parametrize("body", [b"", b"\xff\xfe", b"[]", b"null", b'"text"'])
def test_bytes_that_are_not_an_entry_are_refused(body):
    assert isinstance(decode_target("i", body), Malformed)


def test_configuration_is_decoded():
    configuration = decode_routing(json.dumps(CONFIGURATION).encode())
    first, second = configuration.routes
    assert configuration.version == 7
    assert first.host == "h.example"
    assert first.type is RouteType.SAFE
    assert first.backends == (Backend("s", 90), Backend("t", 10))
    assert (first.timeout_seconds, first.objective_seconds) == (1.2, 0.3)
    assert second.type is RouteType.UNSAFE
    assert second.backends == (Backend("t", 1.0),)
    assert second.max_attempts == 1
    assert configuration.keyed_services == ("s",)
    assert configuration.services["t"].max_connections == 51
    assert configuration.limits.max_body_bytes == 9


@pytest.mark.parametrize("body", [b"", b"{}", b'{"version":"x"}', b"[1]"])
def test_bytes_that_are_not_a_configuration_are_malformed(body):
    assert isinstance(decode_routing(body), Malformed)


NESTED = b"[" * 100_000 + b"]" * 100_000
NESTED_OBJECT = b'{"a":' * 100_000 + b"1" + b"}" * 100_000


def with_raw(document, field, value):
    """Encode a document in which one field has a value as it is written."""
    return json.dumps(document | {field: "@"}).encode().replace(b'"@"', value)


@pytest.mark.parametrize("field", ["zone", "capacity", "version", "unknown"])
@pytest.mark.parametrize("value", [NESTED, NESTED_OBJECT], ids=["array", "object"])
def test_entry_with_a_nested_value_is_refused(field, value):
    assert isinstance(decode_target("i", with_raw(ENTRY, field, value)), Malformed)


@pytest.mark.parametrize("value", [NESTED, NESTED_OBJECT], ids=["array", "object"])
def test_nested_configuration_is_malformed(value):
    assert isinstance(decode_routing(value), Malformed)
    body = with_raw(CONFIGURATION, "unknown", value)
    assert isinstance(decode_routing(body), Malformed)


@pytest.mark.parametrize("field", ["born", "capacity", "sequence", "warmupLeftMs"])
@pytest.mark.parametrize(
    "value",
    [b"1e400", b"%d" % 2**63, b"%d" % 2**70, b"9" * 5_000, b"NaN", b"-1", b"true"],
    ids=lambda value: value[:20].decode(),
)
def test_entry_with_a_number_out_of_range_is_refused(field, value):
    assert isinstance(decode_target("i", with_raw(ENTRY, field, value)), Malformed)


@pytest.mark.parametrize(
    ("field", "value"), [("warmupLeftMs", b"1e300"), ("capacity", b"1000000000000")]
)
def test_entry_with_a_number_too_large_to_be_true_is_refused(field, value):
    assert isinstance(decode_target("i", with_raw(ENTRY, field, value)), Malformed)


@pytest.mark.parametrize("name", ["", "i\r\nHost: x", "i\x00", "i-é", "i" * 5_000])
def test_entry_under_a_name_that_fits_no_header_is_refused(name):
    assert isinstance(decode_target(name, json.dumps(ENTRY).encode()), Malformed)


@pytest.mark.parametrize("value", [b"%d" % 2**63, b"%d" % 2**70, b"9" * 5_000])
def test_configuration_with_a_version_too_large_is_malformed(value):
    body = with_raw(CONFIGURATION, "version", value)
    assert isinstance(decode_routing(body), Malformed)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("priority", b"%d" % 2**70),
        ("priority", b"-%d" % 2**70),
        ("maxAttempts", b"%d" % 2**70),
        ("timeoutMs", b"1e308"),
        ("targetLatencyMs", b"1e308"),
        ("weight", b"1e308"),
    ],
)
def test_route_with_a_number_too_large_is_refused_and_the_others_hold(field, value):
    text = json.dumps(CONFIGURATION)
    path = CONFIGURATION["hosts"][0]["paths"][0]
    previous = path["backends"][0][field] if field == "weight" else path[field]
    member = f'"{field}": {previous}'
    assert member in text
    body = text.replace(member, f'"{field}": {value.decode()}', 1).encode()
    assert_refused_without_harm_to_others(decode_routing(body), 0)


def assert_refused_without_harm_to_others(configuration, index):
    """Check that one of two routes has no service, and the other is whole."""
    sound = decode_routing(json.dumps(CONFIGURATION).encode())
    refused = configuration.routes[index]
    assert refused.id == sound.routes[index].id
    assert refused.backends == ()
    assert configuration.routes[1 - index] == sound.routes[1 - index]
    assert configuration.services == sound.services
    assert configuration.version == sound.version
    assert len(configuration.problems) == 1


@pytest.mark.parametrize(
    "port",
    [
        "0",
        "65536",
        "99999",
        "-1",
        "8\u0663",
        "\u0663",
        "80 ",
        " 80",
        "+80",
        "8_0",
        "",
        "080",
        "80\n",
        "9" * 5_000,
    ],
    ids=lambda port: ascii(port[:10]),
)
def test_entry_with_a_port_out_of_range_or_not_plain_is_refused(port):
    body = json.dumps(ENTRY | {"address": f"10.0.0.1:{port}"}).encode()
    assert isinstance(decode_target("i", body), Malformed)


@pytest.mark.parametrize(
    "address",
    [
        "[::1]:80",
        "::1:80",
        "10.0.0.1",
        "",
        ":80",
        "010.0.0.1:80",
        "10.0.0.1\x00:80",
        "10.0.0.1:80:80",
        "10.0.1:80",
        "\uff11\uff10.0.0.1:80",
    ],
    ids=ascii,
)
def test_entry_with_an_address_that_is_not_ipv4_is_refused(address):
    body = json.dumps(ENTRY | {"address": address}).encode()
    assert isinstance(decode_target("i", body), Malformed)


@pytest.mark.parametrize("port", ["1", "65535"])
def test_entry_with_the_lowest_or_highest_port_is_accepted(port):
    body = json.dumps(ENTRY | {"address": f"10.0.0.1:{port}"}).encode()
    assert decode_target("i", body).address == f"10.0.0.1:{port}"


def test_route_to_no_service_is_refused_and_the_others_hold():
    hosts = json.loads(json.dumps(CONFIGURATION["hosts"]))
    del hosts[0]["paths"][1]["service"]
    body = json.dumps(CONFIGURATION | {"hosts": hosts}).encode()
    assert_refused_without_harm_to_others(decode_routing(body), 1)


# One unknown route type put every route of a deployment out of service.
def test_route_of_an_unknown_type_is_unsafe_and_the_others_hold():
    body = json.dumps(CONFIGURATION).replace('"safe"', '"stream"', 1).encode()
    configuration = decode_routing(body)
    sound = decode_routing(json.dumps(CONFIGURATION).encode())
    assert configuration.routes == (
        replace(sound.routes[0], type=RouteType.UNSAFE),
        sound.routes[1],
    )
    assert configuration.problems == ("hosts[0].paths[0]: unknown route type 'stream'",)


def test_upload_route_is_decoded():
    body = json.dumps(CONFIGURATION).replace('"unsafe"', '"upload"', 1).encode()
    configuration = decode_routing(body)
    assert configuration.routes[1].type is RouteType.UPLOAD
    assert configuration.problems == ()


@pytest.mark.parametrize(
    ("change", "routes", "services"),
    [
        ({"hosts": [4, *CONFIGURATION["hosts"]]}, 2, 2),
        ({"hosts": [{"host": "h", "paths": [[]]}, *CONFIGURATION["hosts"]]}, 2, 2),
        ({"services": [{"name": "t"}, {"name": "s", "warmS": "long"}]}, 2, 2),
        ({"services": [{"name": "t"}, {"name": 4}]}, 2, 1),
        ({"services": [{"name": "t"}, {"name": "s", "sharded": "yes"}]}, 2, 1),
        ({"limits": {"maxHeaderBytes": -1, "maxBodyBytes": 9}}, 2, 2),
        ({"limits": []}, 2, 2),
    ],
    ids=str,
)
def test_part_of_another_form_leaves_the_rest_in_force(change, routes, services):
    configuration = decode_routing(json.dumps(CONFIGURATION | change).encode())
    assert len(configuration.routes) == routes
    assert len(configuration.services) == services
    assert len(configuration.problems) == 1


def test_limit_that_cannot_be_decoded_has_its_default():
    limits = {"maxHeaderBytes": "all", "maxBodyBytes": 9}
    body = json.dumps(CONFIGURATION | {"limits": limits}).encode()
    decoded = decode_routing(body).limits
    assert (decoded.max_header_bytes, decoded.max_body_bytes) == (16_384, 9)


def test_warm_up_of_a_service_is_decoded():
    services = [{"name": "s", "warmupS": 3.0, "warmupPerS": 6.9}, {"name": "t"}]
    body = json.dumps(CONFIGURATION | {"services": services}).encode()
    decoded = decode_routing(body).services
    assert decoded["s"].warmup_seconds == 3.0
    assert decoded["s"].warmup_requests_per_second == 6.9
    assert decoded["t"].warmup_requests_per_second is None


def test_regions_of_a_route_are_decoded():
    hosts = json.loads(json.dumps(CONFIGURATION["hosts"]))
    hosts[0]["paths"][0]["allowedRegions"] = ["r1", "r2"]
    body = json.dumps(CONFIGURATION | {"hosts": hosts}).encode()
    first, second = decode_routing(body).routes
    assert first.allowed_regions == {"r1", "r2"}
    assert second.allowed_regions == frozenset()
