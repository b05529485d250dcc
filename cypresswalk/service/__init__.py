"""The program: which drivers, core and optional parts run, and the thread that decides.

Knows all packages below; none of them knows it. `program.main` is all that is called.
"""
