"""Simulated platform, targets and callers, called stand-ins.

The demonstration, the tests and the benchmarks use them, either embedded in
one process or as separate processes.
"""
