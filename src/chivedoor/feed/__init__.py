"""Distribution of configuration and endpoints among edge balancers."""
