"""Communication between balancers, and the operator interface."""
