"""A stand-in for a coordination engine, written from etcd v3's published HTTP/JSON interface: leases, revisions,
compare-and-set transactions, reads. `store` is pure, `gateway` turns bodies into answers, `server` is the process.

It is one process and no cluster: what it promises is that a change is carried out whole, once, in one order, and
that a lease never ends before its term. Watch, compaction and authentication are not there.
"""
