"""Where the list of log servers comes from, and what a change of it means for calls."""
