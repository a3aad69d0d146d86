"""Measure the package: load patterns, comparisons of policies, slopes."""
