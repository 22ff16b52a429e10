"""Bench of the real proxy and a bare uvloop relay on one core: set-ups and lines per second, memory and descriptors.

Guarantees that both use the same toy servers and the same load generators, in alternating rounds, so that drift of the
machine's speed affects both. The relay only connects and copies bytes, by the same socket calls as the proxy.
"""
