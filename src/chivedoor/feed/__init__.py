"""Distribution of configuration and endpoints between edge balancers."""
