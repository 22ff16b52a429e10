"""An emulator of a coordination engine, written from etcd v3's published HTTP/JSON interface.

`store` holds keys, revisions and leases and is pure, `gateway` turns request bodies into responses, `server` is the
process. It promises that a change is carried out completely, once, in one order, and that a lease never ends before its
time to live. It is one process and no cluster: watch, compaction and authentication are left out.
"""
