"""Client connections: accepting them, reading their requests, and relaying their sessions to session servers.

The package guarantees one final answer for each accepted request, at most one attempt of it at a time, lines relayed
unchanged, and no leaked sockets or tasks. The rules that need no socket are in `session_state.py`, which the emulator
uses as well. `controller` decides which server a request is sent to and when a session migrates; `backends` connects
to the server.
"""
