"""Assembly and lifecycle of the balancer daemon."""
