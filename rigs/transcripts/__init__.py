"""Whole exchanges between processes, written down as they passed on the wire. See docs/transcripts.md."""
