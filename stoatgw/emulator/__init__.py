"""The world around the proxies as a model: session servers, clients, discovery, network, faults.

It promises the same run, to the byte, for the same scenario and seed in virtual time, and an event log from which the
rules can be checked without asking the program. What a run means, and how runs compare, is left to `stoatgw.lab`.
"""
