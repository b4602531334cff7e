"""State and controllers of an entry process: sessions, job records and planning.

A job here is one gang; `lycheeslip.dispatch` handles multi-step jobs.
"""
