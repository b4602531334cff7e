"""Admission control: which connections and requests a process serves within its memory."""
