"""Tests of the project.

Random inputs have no time limit each: a test whose process stands still for a moment
would fail for that alone.  Tests that measure time say so themselves.
"""

from hypothesis import settings

settings.register_profile("untimed", settings.default, deadline=None)
settings.load_profile("untimed")
