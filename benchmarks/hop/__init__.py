"""What one gateway hop adds to a direct call."""
