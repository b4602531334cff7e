"""The protocol between entries and agents: messages, codec and sessions."""
