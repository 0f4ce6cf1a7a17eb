"""Track which entry hosts and targets are live, draining or lost."""
