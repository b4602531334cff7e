"""The operators' configuration file: schema, checks and differences."""
