"""A fleet in virtual time: the same machines without I/O, on a network, disks and clocks that fail by a
seed.
"""
