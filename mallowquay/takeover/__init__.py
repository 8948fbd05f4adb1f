"""What becomes of the calls of a lost machine. Off without `[takeover]`."""
