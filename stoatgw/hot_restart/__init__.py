"""Hot restart: a new process of a proxy takes over from the old one.

`socket_activation` adopts the clients' listening socket, which the platform keeps open. `sibling_processes` finds the
live processes of this proxy: each keeps a locked file in a shared folder. `handover` decides, without IO, which
process accepts client connections, and `hot_restart` carries that out. `shared_request_ids` keeps an id that one
process has taken from running at another one. One process always accepts, also when any of
them is killed. Established sessions are not handed over: the old process migrates them.
"""

LISTEN_DESCRIPTOR_VARIABLE = "LB_LISTEN_FD"
"""Environment variable with the number of the inherited listening socket; hot restart is enabled if it is set."""
