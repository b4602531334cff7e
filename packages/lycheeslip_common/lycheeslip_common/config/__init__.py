"""Process settings: schema and loader."""
