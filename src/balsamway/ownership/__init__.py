"""Leadership of shards, grants to targets, moves of slices, and recovery."""
