"""Stand-ins for the platform: its store, backend servers and network, for tests and the demo."""
