"""Data that the processes exchange: jobs, the fleet and verdicts."""
