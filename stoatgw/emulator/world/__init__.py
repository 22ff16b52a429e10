"""The world model: session servers, clients, discovery, network and faults, and the events that they cause.

It holds the state of a scenario and advances it in time. It promises the same events for the same scenario and seed.
Which proxies take part, and whether time is virtual or real, is left to the drivers.
"""
