"""Which entry hosts and servers are there: live, leaving or lost."""
