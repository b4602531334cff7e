"""What the command line does, one module a command."""
