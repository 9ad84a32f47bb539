"""Settings of a VM and the document shared by all balancers."""
