"""What the system says to targets."""
