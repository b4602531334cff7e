"""The platform's key-value service: outcomes and client."""
