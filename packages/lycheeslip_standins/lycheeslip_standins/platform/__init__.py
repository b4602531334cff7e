"""Stand-ins for the users' platform: its store, and workers with their backend servers."""
