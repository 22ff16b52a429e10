"""The checker: verifies a run from its event log alone.

It defines the rules that proxies must follow, and finds the events that violate them, in virtual and loopback runs
alike. It never queries the programs that it checks. The drivers write the log.
"""
