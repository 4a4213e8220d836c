"""Records and decision logic, without sockets, threads or clocks."""
