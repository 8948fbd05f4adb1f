"""Several real processes of the platform's front, all that they talk to, and faults by seed."""
