"""Which balancers are alive, and how this is decided."""
