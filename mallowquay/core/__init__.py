"""Requests, attempts and their endings; knows no wire and no sockets."""
