"""What operators restrict: where calls are served, and which servers get none."""
