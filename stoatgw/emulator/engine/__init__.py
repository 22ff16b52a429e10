"""An emulator of a coordination engine that implements etcd v3's published HTTP/JSON interface.

`store` keeps keys, revisions and leases without I/O, `gateway` maps request bodies to responses, and `server` is the
process. Changes are atomic and totally ordered, and a lease never expires before its time to live. It is a single
process, not a cluster; watch, compaction and authentication are not implemented.
"""
