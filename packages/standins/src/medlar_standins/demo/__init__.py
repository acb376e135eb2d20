"""Demo deployment on loopback with configuration changes and overload."""
