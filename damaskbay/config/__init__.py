"""The operators' set: models at the border, frozen data classes inside."""
