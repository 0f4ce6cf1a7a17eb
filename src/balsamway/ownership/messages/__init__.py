"""The messages between leaders, witnesses and gateways."""

from balsamway.ownership.messages.adopt_answer import AdoptAnswer
from balsamway.ownership.messages.adopt_request import AdoptRequest
from balsamway.ownership.messages.granted_slice import GrantedSlice
from balsamway.ownership.messages.key_load import KeyLoad
from balsamway.ownership.messages.lapse_answer import LapseAnswer
from balsamway.ownership.messages.lapse_request import LapseRequest
from balsamway.ownership.messages.leader_query import LeaderQuery
from balsamway.ownership.messages.leader_query_answer import LeaderQueryAnswer
from balsamway.ownership.messages.load_report import LoadReport
from balsamway.ownership.messages.promise_answer import PromiseAnswer
from balsamway.ownership.messages.promise_request import PromiseRequest
from balsamway.ownership.messages.range_load import RangeLoad
from balsamway.ownership.messages.reach_answer import ReachAnswer
from balsamway.ownership.messages.reach_request import ReachRequest
from balsamway.ownership.messages.resignation import Resignation
from balsamway.ownership.messages.store_answer import StoreAnswer, StoreOutcome
from balsamway.ownership.messages.store_read import StoreRead
from balsamway.ownership.messages.store_write import StoreWrite
from balsamway.ownership.messages.target_lapse import TargetLapse
from balsamway.ownership.messages.view_answer import ViewAnswer
from balsamway.ownership.messages.view_notice import ViewNotice
from balsamway.ownership.messages.view_notice_answer import ViewNoticeAnswer
from balsamway.ownership.messages.view_request import ViewRequest

__all__ = [
    "AdoptAnswer",
    "AdoptRequest",
    "GrantedSlice",
    "KeyLoad",
    "LapseAnswer",
    "LapseRequest",
    "LeaderQuery",
    "LeaderQueryAnswer",
    "LoadReport",
    "PromiseAnswer",
    "PromiseRequest",
    "RangeLoad",
    "ReachAnswer",
    "ReachRequest",
    "Resignation",
    "StoreAnswer",
    "StoreOutcome",
    "StoreRead",
    "StoreWrite",
    "TargetLapse",
    "ViewAnswer",
    "ViewNotice",
    "ViewNoticeAnswer",
    "ViewRequest",
]
