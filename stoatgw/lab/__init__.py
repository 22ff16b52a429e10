"""Experiments on the emulator: many seeds, two drivers, tables, charts, comparisons, and benches of the real proxy.

Promises that results depend on the scenario and the seeds alone (not on jobs, hash seeds or the day), that an
interrupted experiment goes on, and that nothing of another experiment is overwritten. It leaves the world itself to
`stoatgw.emulator`, and is never imported by the service.
"""
