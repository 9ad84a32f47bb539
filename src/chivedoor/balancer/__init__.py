"""Packet handling of one balancer, without I/O and without a clock."""
