"""Stand-ins for what lies outside, and the load tool."""
