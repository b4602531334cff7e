"""Multi-step jobs: specification, progress, and messages between entries and agents."""
