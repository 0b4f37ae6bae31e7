"""What is under way in a fake fleet when a fault comes."""
