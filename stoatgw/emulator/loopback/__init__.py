"""The second driver of the model: real proxies as processes, before stand-ins on 127.0.0.0/8, in real time.

The stand-ins speak the platform's protocol and take all that they do from the world; the same log goes to the same
checker. A run whose driver was late says so and is void. What loopback can't show is listed in docs/emulator.md.
"""
