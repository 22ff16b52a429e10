"""The checker: judges a run by its event log alone.

It holds the rules that a proxy promises and finds the events that break them, in virtual and in loopback runs alike.
It asks no program for its own opinion. Writing the log is left to the drivers.
"""
