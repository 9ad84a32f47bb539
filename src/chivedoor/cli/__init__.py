"""Command-line entry points of the daemon and the operator tool."""
