"""Stand-ins for the systems around chivedoor, for tests and the bench."""
