"""The protocol between hosts and targets."""
