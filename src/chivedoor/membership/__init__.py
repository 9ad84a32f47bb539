"""Membership of the balancers and detection of failed ones."""
