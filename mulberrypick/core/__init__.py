"""Records and decisions: pure modules without sockets, threads or clocks."""
