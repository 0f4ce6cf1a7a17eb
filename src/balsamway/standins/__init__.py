"""Small stand-ins for the platform, the targets and the callers.

They are used by the demonstration, the tests and the benchmarks, either
embedded in one process or as processes of their own.
"""
