"""A fleet of gatekeepers: who is in it, who is up, what is agreed, and what two of them say to each other."""
