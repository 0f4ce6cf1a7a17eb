"""Parse and check the head of a caller's request."""

from __future__ import annotations

import asyncio
import re
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING

from balsamway.gateway.refusal import Refusal
from balsamway.outcome import NotRun, Reason
from balsamway.targets import header_names

if TYPE_CHECKING:
    from aiohttp import web

    from balsamway.configuration import RequestKind, Service, WorkspaceConfiguration
    from balsamway.configuration.configurations import Configurations
    from balsamway.gateway.gateway_limits import GatewayLimits

_PATH = re.compile(r"/v1/([A-Za-z0-9._-]{1,64})/([A-Za-z0-9._-]{1,64})")
_REQUEST_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")
_TIMEOUT_MS = re.compile(r"[0-9]{1,9}")
_CONTENT_TYPE = re.compile(r"[\x20-\x7e]{1,256}")
_DEFAULT_CONTENT_TYPE = "application/octet-stream"
_BEARER = "Bearer "


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The checked head of a caller's request."""

    workspace: WorkspaceConfiguration
    service: Service
    kind: RequestKind
    request_id: str
    key: str
    deadline: float
    content_type: str


def read_head(
    request: web.BaseRequest, configurations: Configurations, limits: GatewayLimits
) -> RequestHead | Refusal:
    """Parse and check the head of a caller's request.

    Args:
        request: The request. Its head has been received.
        configurations: The configurations in force.
        limits: The limits of the gateway.

    Returns:
        The head, or the refusal of the request.
    """
    request_id = _request_id(request)
    if request_id is None:
        return _refuse(Reason.BAD_REQUEST, "the request id is malformed", _new_id())
    if request.method != "POST":
        return _refuse(Reason.BAD_REQUEST, "the method must be POST", request_id)
    path = _PATH.fullmatch(request.raw_path)
    if path is None:
        detail = "the path must be /v1/SERVICE/KIND"
        return _refuse(Reason.UNKNOWN_SERVICE, detail, request_id)
    workspace = _workspace(request, configurations)
    if isinstance(workspace, NotRun):
        return Refusal(workspace, request_id)
    service = workspace.service(path[1])
    if service is None:
        return _refuse(Reason.UNKNOWN_SERVICE, "", request_id)
    kind = service.kind(path[2])
    if kind is None:
        return _refuse(Reason.UNKNOWN_KIND, "", request_id)
    key = _key(request, service, limits)
    if isinstance(key, NotRun):
        return Refusal(key, request_id)
    timeout = _timeout_seconds(request, kind)
    if isinstance(timeout, NotRun):
        return Refusal(timeout, request_id)
    content_type = request.headers.get("Content-Type", _DEFAULT_CONTENT_TYPE)
    if not _CONTENT_TYPE.fullmatch(content_type):
        return _refuse(Reason.BAD_REQUEST, "the content type is malformed", request_id)
    deadline = asyncio.get_running_loop().time() + timeout
    return RequestHead(
        workspace, service, kind, request_id, key, deadline, content_type
    )


def response_request_id(request: web.BaseRequest) -> str:
    """Return the request id for the response to a request.

    Args:
        request: A request that may be malformed.

    Returns:
        The caller's request id if it is well formed, else a new one.
    """
    return _request_id(request) or _new_id()


def _refuse(reason: Reason, detail: str, request_id: str) -> Refusal:
    return Refusal(NotRun(reason, detail), request_id)


def _new_id() -> str:
    return uuid.uuid4().hex


def _request_id(request: web.BaseRequest) -> str | None:
    header = request.headers.get(header_names.REQUEST_ID)
    if header is None:
        return _new_id()
    return header if _REQUEST_ID.fullmatch(header) else None


def _workspace(
    request: web.BaseRequest, configurations: Configurations
) -> WorkspaceConfiguration | NotRun:
    header = request.headers.get(header_names.AUTHORIZATION, "")
    if not header.startswith(_BEARER):
        return NotRun(Reason.UNAUTHORIZED, "a bearer token is required")
    token = header.removeprefix(_BEARER)
    if not token.isascii() or not token.isprintable():
        return NotRun(Reason.UNAUTHORIZED, "the token is malformed")
    workspace = configurations.workspace_of_token(token)
    if workspace is not None:
        return workspace
    if not configurations.workspaces():
        return NotRun(Reason.NO_CONFIGURATION, retry_after_seconds=1.0)
    return NotRun(Reason.UNAUTHORIZED, "the token is not known")


def _key(
    request: web.BaseRequest, service: Service, limits: GatewayLimits
) -> str | NotRun:
    key = request.headers.get(header_names.KEY, "")
    if not key and service.exclusive_keys:
        return NotRun(Reason.BAD_REQUEST, "a key is required")
    if len(key) > limits.key_bytes:
        return NotRun(Reason.BAD_REQUEST, "the key is too long")
    if not key.isascii() or (key and not key.isprintable()):
        return NotRun(Reason.BAD_REQUEST, "the key must be printable ASCII")
    return key


def _timeout_seconds(request: web.BaseRequest, kind: RequestKind) -> float | NotRun:
    text = request.headers.get(header_names.TIMEOUT_MS)
    if text is None:
        return kind.timeout_seconds
    if not _TIMEOUT_MS.fullmatch(text):
        return NotRun(Reason.BAD_REQUEST, "the timeout must be whole milliseconds")
    if int(text) == 0:
        return NotRun(Reason.DEADLINE_EXCEEDED, "the timeout is zero")
    return min(kind.timeout_seconds, int(text) / 1000)
