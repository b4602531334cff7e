"""Dispatch of multi-step jobs: acceptance, records, placement and orders."""
