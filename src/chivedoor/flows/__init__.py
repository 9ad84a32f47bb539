"""Flow records, overrides and the owners of targets."""
