"""Session servers that operators, or a maintenance, have suspended.

`overrides` lays the suspensions over discovery's endpoint list, without IO; `store` keeps the operators' ones in one
file that all processes of a proxy share and that outlives each of them; `service` changes and polls that file, and
`applier` brings each change to the controller. A suspended server gets no new requests until it is resumed, whatever
discovery says; who may suspend a server, and how the call arrives, is left to `management` and `maintenance`.
"""
