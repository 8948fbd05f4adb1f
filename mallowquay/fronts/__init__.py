"""The fronts: wires to callers and to log servers, and what they share."""
