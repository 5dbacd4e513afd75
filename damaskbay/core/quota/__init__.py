"""Rate and burst of a workspace, held over the whole fleet by demand shares."""
