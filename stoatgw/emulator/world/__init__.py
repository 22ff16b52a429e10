"""The world model: session servers, clients, discovery, faults and the events that they cause.

It holds the state of a scenario and moves it on in time. It promises the same events for the same seed. Which proxies
take part, and whether time is virtual or real, is left to the drivers.
"""
