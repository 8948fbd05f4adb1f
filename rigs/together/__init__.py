"""What a fleet does together, between real processes: districts with log servers and callers of their own."""
