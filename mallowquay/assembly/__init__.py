"""The wiring of a serving program: one small assembly a concern, started and stopped in a fixed order."""
