"""The users' platform, translated into the product's types."""
