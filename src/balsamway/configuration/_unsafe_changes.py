"""Changes that could give a key two owners while they spread."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.configuration.service import Service
    from balsamway.configuration.workspace_configuration import WorkspaceConfiguration


def unsafe_changes(
    current: WorkspaceConfiguration | None, offered: WorkspaceConfiguration
) -> str:
    """Tells whether a change is refused for the safety of keys.

    Hosts adopt a configuration at different moments, so a service must not
    change how its keys are owned: a new service takes a new name.

    Args:
        current: The configuration in force; None for a new workspace.
        offered: The configuration to come.

    Returns:
        The reason to refuse; empty where there is none.
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
