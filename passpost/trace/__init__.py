"""What became of each request, a line in the log each; and a day's lines of all balancers added up."""
