"""Leadership of shards, grants to targets, handover and recovery."""
