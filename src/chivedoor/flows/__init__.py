"""Flow records, overrides and the state of targets at their owners."""
