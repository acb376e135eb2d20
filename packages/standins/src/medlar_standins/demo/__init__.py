"""The Authority's deployment on loopback, with changes and a flood."""
