"""Tests of the admission of whole call trees."""
