"""Closings: what an edge holds for a business day goes everywhere at one instant. No I/O."""
