"""A small model of callers, log servers and the list, in virtual time, round the real Calls and Decisions.

It is a tool for trying sizes and designs: what it models of the outside is kept to what the formulas of
`mallowquay.dimensioning` and the rules of a call speak of. Nothing of the decisions is copied.
"""
