"""Agent process beside each backend server, which alone grants its slots and accelerators."""
