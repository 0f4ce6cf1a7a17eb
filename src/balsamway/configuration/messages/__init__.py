"""Messages by which entry hosts exchange configurations."""

from balsamway.configuration.messages.configuration_digest import ConfigurationDigest
from balsamway.configuration.messages.configuration_digest_answer import (
    ConfigurationDigestAnswer,
)
from balsamway.configuration.messages.configuration_notice import ConfigurationNotice
from balsamway.configuration.messages.workspace_version import WorkspaceVersion

__all__ = [
    "ConfigurationDigest",
    "ConfigurationDigestAnswer",
    "ConfigurationNotice",
    "WorkspaceVersion",
]
