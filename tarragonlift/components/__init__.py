"""Sockets, files and timers round the core, a folder for each part."""
