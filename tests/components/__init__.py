"""Tests for the components."""
