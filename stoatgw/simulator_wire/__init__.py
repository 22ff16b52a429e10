"""The simulator's side: lines on standard input and output in place of sockets, and the same decisions behind them.

Promises the platform's wire byte for byte, and an error that names line and field for input that breaks it.
It decides nothing: events go to `stoatgw.decisions`, and its actions are written in the order in which they come.
"""
