"""Stand-ins for the platform's store, backend servers and network, for tests and the demo."""
