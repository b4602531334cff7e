"""Jobs of several steps: their specification, progress and the messages about their runs."""
