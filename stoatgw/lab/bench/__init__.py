"""The real proxy against a bare uvloop relay on one core: set-ups and lines a second, memory and descriptors.

Promises that both serve the same toy servers and the same load generators, in turns, so that the machine's drift
falls on both. The relay does no more than connect and copy bytes, on the same socket calls as the proxy.
"""
