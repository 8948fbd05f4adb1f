"""How many log servers to start: the classic loss and delay formulas, and sizes from measured traffic.

No I/O and no clock. Loads are in erlang (mean calls at once that an unlimited group would carry).
"""
