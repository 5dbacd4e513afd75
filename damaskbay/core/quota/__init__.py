"""Fleet-wide rate limits of workspaces, split over daemons by demand."""
