"""Names that the platform gives to kinds, paths and headers."""

from __future__ import annotations

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
TARGETS_KIND = "servers"

READINESS_PATH = "/readiness"
GRANT_PATH = "/grant"
RELEASE_PATH = "/release"

REQUEST_ID = "Balsamway-Request-Id"
DEADLINE = "Balsamway-Request-Deadline"
SHARD_KEY = "Balsamway-Shard-Key"
TARGET = "Balsamway-Target-Instance"
ANSWERED_BY = "Balsamway-Instance-Id"
NOT_EXECUTED = "Balsamway-Not-Executed"
SIGNATURE = "Balsamway-Response-Signature"
HANDOVER = "Balsamway-Handover"
