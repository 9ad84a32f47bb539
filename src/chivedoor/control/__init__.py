"""Communication between balancers, and the operators' interface."""
