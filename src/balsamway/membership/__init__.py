"""Which entry hosts and targets are there: live, leaving or lost."""
