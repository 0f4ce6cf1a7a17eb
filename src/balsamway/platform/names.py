"""The platform's names of kinds of objects, HTTP paths and headers."""

from __future__ import annotations

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
TARGETS_KIND = "servers"
EVACUATIONS_KIND = "evacuations"

READINESS_PATH = "/readiness"
GRANT_PATH = "/grant"
RELEASE_PATH = "/release"

REQUEST_ID_HEADER = "Balsamway-Request-Id"
DEADLINE_HEADER = "Balsamway-Request-Deadline"
SHARD_KEY_HEADER = "Balsamway-Shard-Key"
TARGET_HEADER = "Balsamway-Target-Instance"
ANSWERED_BY_HEADER = "Balsamway-Instance-Id"
NOT_EXECUTED_HEADER = "Balsamway-Not-Executed"
LIMIT_HEADER = "Server-Limit"
RETRY_AFTER_HEADER = "Retry-After"
LEAVING_HEADER = "Server-Leaving"
LOAD_HEADER = "Balsamway-Instance-Load"
WARMUP_HEADER = "Balsamway-Warmup-Remaining"
SIGNATURE_HEADER = "Balsamway-Response-Signature"
HANDOVER_HEADER = "Balsamway-Handover"
STORE_ERA_HEADER = "Store-Era"
