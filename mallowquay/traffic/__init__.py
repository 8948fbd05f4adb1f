"""What the core sees of its callers, a class and an interval at a time: recorded, written, read back."""
