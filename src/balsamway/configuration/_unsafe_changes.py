"""Changes that could give a key two owners until all hosts adopt them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.configuration.service import Service
    from balsamway.configuration.workspace_configuration import WorkspaceConfiguration


def unsafe_change_reason(
    current: WorkspaceConfiguration | None, offered: WorkspaceConfiguration
) -> str:
    """Return why a change could give a key two owners.

    Hosts adopt a configuration at different times. If a service changed how
    its keys are owned, two hosts could route a key to different owners until
    both have adopted the change. Such a change needs a service with a new
    name.

    Args:
        current: The configuration in force; None for a new workspace.
        offered: The configuration that an operator offers.

    Returns:
        The reason to refuse the change, or an empty text if it is safe.
    """
    if current is None:
        return ""
    for service in offered.services:
        before = current.service(service.name)
        if before is not None and _ownership(before) != _ownership(service):
            return (
                f"services[{service.name}]: exclusive_keys and shards cannot change"
                " for a service in force; give the service a new name"
            )
    return ""


def _ownership(service: Service) -> tuple[bool, int]:
    return service.exclusive_keys, service.shards
