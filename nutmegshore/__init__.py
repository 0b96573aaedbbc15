"""Global traffic steering declared as objects."""
