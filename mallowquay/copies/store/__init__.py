"""Files of the copies: a journal in segments, written and synced by a thread of its own."""
