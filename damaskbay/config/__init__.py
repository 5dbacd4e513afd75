"""The configuration set: pydantic models for input, frozen data classes inside."""
