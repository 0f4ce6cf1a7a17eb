"""What the system says to servers."""
