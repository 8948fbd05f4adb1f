"""The second front under faults: callers and log servers that speak SIP, real processes between them."""
