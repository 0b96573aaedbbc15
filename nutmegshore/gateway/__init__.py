"""Gateway daemon that forwards callers' requests to upstreams."""
