"""The rig of the fleet: N processes of the program, and faults between them, drawn from a seed."""
