"""The complete decision path of one balancer, free of I/O and clock."""
