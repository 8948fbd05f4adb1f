"""Copies: what a gatekeeper promised stands on further gatekeepers before it is promised. Off without
`[copies]`.
"""
