"""Data types that the processes exchange: jobs, workers and entries, and verdicts.

A job here is one gang; `lycheeslip_common.workload` has the types of multi-step jobs.
"""
