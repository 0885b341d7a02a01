"""The data path: proxies requests from callers to backend servers."""
