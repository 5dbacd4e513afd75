"""Rate and burst of a workspace, counted once over the whole fleet."""
