"""What several parts use."""
