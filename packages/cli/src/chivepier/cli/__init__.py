"""The chivepier command line."""
