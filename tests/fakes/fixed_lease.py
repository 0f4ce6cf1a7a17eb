from __future__ import annotations

EPOCH = 1


class FixedLease:
    """The lease of one host; tests say which host holds it."""

    def __init__(self, host: str, holder: str | None) -> None:
        self._host = host
        self.holder = holder
        self.held_epoch = EPOCH

    @property
    def epoch(self) -> int | None:
        return self.held_epoch if self.holder == self._host else None

    @property
    def leader(self) -> tuple[int, str, str] | None:
        if self.holder is None:
            return None
        return (self.held_epoch, self.holder, self.holder)

    def has_authority(self, epoch: int) -> bool:
        return self.epoch == epoch
