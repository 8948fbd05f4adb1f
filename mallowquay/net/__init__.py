"""Wires and sockets: fronts towards callers, sides towards log servers, sources of the server list."""
