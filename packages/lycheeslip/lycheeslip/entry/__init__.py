"""The entry process: sessions, job records, planner and HTTP interface."""
