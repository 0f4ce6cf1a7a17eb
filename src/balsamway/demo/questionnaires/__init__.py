"""The questionnaires of the workspaces that a demonstration shows."""
