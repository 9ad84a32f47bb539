"""Client of the platform's service: documents and the list of VMs."""
