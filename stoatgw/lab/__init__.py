"""Experiments on the emulator: many seeds, two drivers, tables, charts, comparisons, and benches of the real proxy.

Guarantees that results depend only on the scenario and the seeds (not on the number of jobs, the hash seed or the
date), that an interrupted experiment can be resumed, and that no file of another experiment is overwritten. The
emulated world itself is in `stoatgw.emulator`. The service never imports this package.
"""
