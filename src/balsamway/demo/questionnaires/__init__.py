"""The questionnaires of the members that a demonstration shows."""
