"""Admission control: share the slots of targets fairly among client accounts."""
