"""Readiness, the second address, and two processes at an upgrade."""
