"""Several worker processes for one operator's file: `passpost run FILE --workers N`."""
