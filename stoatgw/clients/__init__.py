"""Client connections: accepting them, reading their requests, and relaying their sessions to session servers.

It promises one final answer for each accepted request, never two attempts at once, lines relayed unchanged, and no
socket or task left behind; the rules that need no socket are in `session_state.py`, which the emulator uses as well.
Which server a request goes to, and when a session migrates, is left to `controller`; connecting to it, to `backends`.
"""
