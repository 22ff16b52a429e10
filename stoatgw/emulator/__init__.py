"""The world around the proxies as a model: session servers, clients, discovery, network, faults.

It promises the same day, to the byte, for the same scenario and seed, and an event log from which rules can be
judged without asking the program. What a run means, and how runs compare, is left to `stoatgw.lab`.
"""
