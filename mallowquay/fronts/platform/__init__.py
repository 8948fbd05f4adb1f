"""The platform's front: callers' SIP over TCP, log servers' JSON lines."""
