"""Stand-ins for the users' platform: its store, its advice service and its workers."""
