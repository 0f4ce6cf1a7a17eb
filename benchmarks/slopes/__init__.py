"""What each role costs, by the size of what it has to do with."""
