"""Protocol between entries and agents: messages, codec and sessions."""
