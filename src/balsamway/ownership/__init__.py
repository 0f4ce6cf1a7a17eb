"""Leadership of shards, grants to servers, handover and recovery."""
