"""Layer-4 load balancer for entry VMs behind a packet-spraying fabric."""
