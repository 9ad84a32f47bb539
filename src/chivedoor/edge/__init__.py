"""The edge balancer process, which steers packets by flow tags."""
