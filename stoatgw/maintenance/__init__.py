"""A rolling maintenance that proxies settle among themselves: which machine is out, in which order, and never too many.

`plan` is what the operators ask for, `ledger` what has been done, `steward` the next step: pure. `agent` reads and
writes the ledger in the coordination engine, takes servers out of this proxy's choice and says when they are empty.
It does not restart machines: it takes them out, tells when they may be worked on, and brings them back.
"""
