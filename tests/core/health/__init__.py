"""Tests of what targets in need are sent."""
