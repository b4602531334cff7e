"""Dispatch of jobs of several steps: acceptance, records, placement and orders."""
