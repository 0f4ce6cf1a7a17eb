"""Reports a workspace's balance, failed requests and cost."""

from balsamway.observe.report.metrics_reader import build_report
from balsamway.observe.report.workspace_report import ServiceReport, WorkspaceReport

__all__ = ["ServiceReport", "WorkspaceReport", "build_report"]
