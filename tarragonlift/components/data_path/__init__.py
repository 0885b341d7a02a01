"""The data path: requests from callers to backend servers and back."""
