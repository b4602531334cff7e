"""Protocol between entries and agents: messages, codec and sessions.

The protocol for multi-step jobs is in `lycheeslip_common.workload`.
"""
