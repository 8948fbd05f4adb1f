"""Rigs of the repository: stand-ins and drivers that play with real processes. No part of the program."""
