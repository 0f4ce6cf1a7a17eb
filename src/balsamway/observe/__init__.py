"""What the system tells of itself: metrics, logs, state and reports."""
