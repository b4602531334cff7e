"""Process beside each backend server: the only authority over its slots and accelerators."""
