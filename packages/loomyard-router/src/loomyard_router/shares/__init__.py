"""Share policies: admission of queued requests to target slots, fair between client accounts."""
