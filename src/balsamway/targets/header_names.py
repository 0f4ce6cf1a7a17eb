"""Names of the HTTP headers between callers, gateways and targets."""

from __future__ import annotations

ATTEMPT = "Balsamway-Attempt"
AUTHORIZATION = "Authorization"
EPOCH = "Balsamway-Epoch"
KEY = "Balsamway-Key"
WORKSPACE = "Balsamway-Workspace"
REASON = "Balsamway-Reason"
REQUEST_ID = "Balsamway-Request-Id"
RETRY_AFTER = "Retry-After"
SHARD = "Balsamway-Shard"
TIMEOUT_MS = "Balsamway-Timeout-Ms"
VERDICT = "Balsamway-Verdict"
