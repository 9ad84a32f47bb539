"""Client of the platform's service for documents and the list of VMs."""
