"""Rate-limited, jittered access to the platform's store."""
