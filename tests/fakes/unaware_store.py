"""A store whose client learns of a restore from a later response only."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.store.era import era_of, revision_of, version_of
from balsamway.store.object_store import Changes, HistoryGone, Listing
from tests.fakes.memory_store import MemoryStore


@dataclass
class UnawareStore(MemoryStore):
    """Lets a watch wait though its revision was given out in another era."""

    client_era: int = 1

    async def list(self, kind):
        result = await super().list(kind)
        if isinstance(result, Listing):
            self.client_era = self.era
        return result

    async def watch(self, kind, after_revision, wait_seconds):
        after = revision_of(after_revision)
        if era_of(after_revision) < self.client_era or after > self.revision:
            self.client_era = self.era
            return HistoryGone()
        result = await super().watch(kind, version_of(self.era, after), wait_seconds)
        if not isinstance(result, Changes):
            return result
        self.client_era = self.era
        if era_of(result.revision) != era_of(after_revision):
            return HistoryGone()
        return result
