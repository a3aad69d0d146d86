"""Tests of which runs get copies and go on from them."""
