"""Decides where the slices of one shard should be."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.balance._board import Board
from balsamway.balance._evacuation import evacuate
from balsamway.balance._fair_share import FairShare
from balsamway.balance._gathering import gather_light
from balsamway.balance._merging import merge_cold
from balsamway.balance._move_budget import MoveBudget
from balsamway.balance._rebalance import rebalance
from balsamway.balance._splitting import split_heavy
from balsamway.balance._standbys import choose_standbys
from balsamway.balance.placement_limits import PlacementLimits
from balsamway.balance.placement_trade import PlacementTrade
from balsamway.balance.plan import Plan

if TYPE_CHECKING:
    from balsamway.balance._board_slice import BoardSlice
    from balsamway.balance.placement_input import PlacementInput
    from balsamway.balance.split import Split
    from balsamway.slices import KeyRange

MOVE_REST_SECONDS = 5.0
"""How long a slice stays after a move that served balance."""

MERGE_REST_SECONDS = 60.0
"""How old a slice must be before it is merged."""


LEARNING_SECONDS = 15.0
"""How long loads are only watched before anything moves for balance."""


class PlacementPlanner:
    """Plans one shard; the plan is the same for the same inputs and seed.

    Slices leave targets that are leaving or lost at once. What only serves
    balance waits until a target is well over its share, stops when all are
    nearly even, and keeps to a budget; the workspace's weights set all three.
    """

    def __init__(self, seed: int = 0, limits: PlacementLimits | None = None) -> None:
        """Creates a planner without history.

        Args:
            seed: Breaks ties between targets, so that shards differ.
            limits: Bounds on the number of slices.
        """
        self._seed = seed
        self._limits = limits or PlacementLimits()
        self._budget = MoveBudget()
        self._is_rebalancing = False
        self._loads_since: float | None = None
        self._moved_at: dict[KeyRange, float] = {}
        self._seen_at: dict[KeyRange, float] = {}

    def plan(self, state: PlacementInput) -> Plan:
        """Plans the next changes of the shard.

        Args:
            state: The shard as it is now.

        Returns:
            The changes; an empty plan where nothing is worth its move.
        """
        self._remember(state)
        board = Board(state, self._seed)
        if not board.usable:
            return Plan()
        trade = PlacementTrade.of(state.weights)
        self._budget.fill(state.now, trade.budget_share_a_minute, trade.burst_share)
        share = FairShare.of(board)
        merges = merge_cold(
            board,
            share,
            self._limits.slices_wanted,
            lambda item: self._is_old(item, state.now),
        )
        evacuate(board)
        gather_light(
            board,
            share,
            self._budget,
            self._limits.slices_gathered_above,
            lambda item: self._is_old(item.range, state.now),
        )
        splits = self._even_out(board, trade, state.now)
        standbys = choose_standbys(board)
        return Plan(splits, merges, tuple(board.moves), standbys)

    def dump(self) -> dict[str, object]:
        """Describes the planner for the state dump."""
        return {
            "is_rebalancing": self._is_rebalancing,
            "budget_share": self._budget.share,
            "slices_moved_lately": len(self._moved_at),
        }

    def _even_out(
        self, board: Board, trade: PlacementTrade, now: float
    ) -> tuple[Split, ...]:
        share = FairShare.of(board)
        self._is_rebalancing = self._knows_loads(now) and self._is_worthwhile(
            board, share, trade
        )
        if not self._is_rebalancing:
            return ()
        room = self._limits.slices_at_most - len(board.slices)
        splits = split_heavy(board, share, room)
        evacuated = len(board.moves)
        rebalance(
            board,
            FairShare.of(board),
            self._budget,
            trade,
            lambda item: self._is_settled(item, now),
        )
        for move in board.moves[evacuated:]:
            self._moved_at[move.range] = now
        return splits

    def _is_worthwhile(
        self, board: Board, share: FairShare, trade: PlacementTrade
    ) -> bool:
        excesses = [share.excess(board, each.name) for each in board.usable]
        most = max(excesses)
        least = min(excesses)
        if self._is_rebalancing:
            return most > trade.end_ratio or least < 1.0 / trade.end_ratio
        return most > trade.start_ratio or least < 1.0 / trade.start_ratio

    def _knows_loads(self, now: float) -> bool:
        since = self._loads_since
        return since is not None and now - since >= LEARNING_SECONDS

    def _is_settled(self, item: BoardSlice, now: float) -> bool:
        moved_at = self._moved_at.get(item.range)
        return moved_at is None or now - moved_at >= MOVE_REST_SECONDS

    def _is_old(self, item: KeyRange, now: float) -> bool:
        return now - self._seen_at.get(item, now) >= MERGE_REST_SECONDS

    def _remember(self, state: PlacementInput) -> None:
        if self._loads_since is None and any(each.load > 0.0 for each in state.loads):
            self._loads_since = state.now
        self._seen_at = {
            each.range: self._seen_at.get(each.range, state.now)
            for each in state.slices
        }
        self._moved_at = {
            item: at
            for item, at in self._moved_at.items()
            if state.now - at < MOVE_REST_SECONDS
        }
