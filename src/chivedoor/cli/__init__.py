"""Entry points of the daemon and of the operators' tool."""
