"""Adapter for the platform's simulator: the proxy's decisions, driven by lines on standard input and output.

Speaks the platform's line format byte for byte; the error for malformed input names the line and the field.
It passes events to `stoatgw.decisions` and writes the actions in the order in which the decisions return them.
"""
