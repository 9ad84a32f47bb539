"""Settings of one VM and the document that all balancers share."""
