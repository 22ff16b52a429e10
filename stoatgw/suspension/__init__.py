"""Session servers that operators, or a maintenance, have suspended.

`overrides` applies the suspensions to discovery's endpoint list, without IO. `store` persists the operators'
suspensions in one file that all processes of a proxy share and that outlives each of them; `service` changes and polls
that file, and `applier` posts each change to the controller. A suspended server gets no new requests until it is
resumed, whatever discovery reports. `management` and `maintenance` decide when a server is suspended.
"""
