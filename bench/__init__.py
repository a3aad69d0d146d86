"""Benchmarks and soak runs: load patterns, policy comparisons, slopes, faults."""
