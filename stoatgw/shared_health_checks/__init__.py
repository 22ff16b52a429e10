"""Probing shared among proxies that reach one coordination engine: each server is probed by one of them for all.

`board` is pure: whose turn each server is, and when someone stands in. `agent` probes, publishes what it found under
its own lease, and hands what others found to the owner as the probe results that they are. At least once, never at
most once: two may probe a server for a moment. Without the engine each proxy probes for itself, as without this.
"""
