"""State and controllers of an entry process: sessions, job records and planning."""
