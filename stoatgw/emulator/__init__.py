"""Emulates the environment of the proxies: session servers, clients, discovery, network and faults.

In virtual time, the same scenario and seed give byte-identical runs. The event log of a run contains all that the
checker needs to verify the rules; it never queries the proxies. `stoatgw.lab` evaluates and compares runs.
"""
