"""The world model: session servers, clients, discovery, network and faults, and the events that they cause.

It keeps the state of a scenario's run and advances it in time. The same scenario and seed always produce the same
events. The drivers run the proxies and decide whether time is virtual or real.
"""
