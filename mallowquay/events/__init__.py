"""Events of the fleet for those who asked: the filter language, its index, streams. No I/O but `listener`."""
