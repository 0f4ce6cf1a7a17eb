"""What a member is shown of balance, unavailable requests and cost."""

from balsamway.observe.report.member_report import MemberReport, ServiceReport
from balsamway.observe.report.metrics_reader import build_report

__all__ = ["MemberReport", "ServiceReport", "build_report"]
