"""Messages between balancers and the operators' interface."""
