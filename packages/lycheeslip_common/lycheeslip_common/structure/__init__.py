"""Data types that the processes exchange: jobs, workers and entries, and verdicts."""
